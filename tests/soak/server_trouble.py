"""Servers that crash on a prompt part or name a rate limit, in the soak test."""

from __future__ import annotations

import asyncio
import time
from functools import partial
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from tests.soak.fault_proxy import FaultProxy
    from tests.soak.servers import RecordingServer

SHARED_PART = "a1"
CRASHING_PART = "dead"
CRASHING_SHARE = 0.02
"""Share of the requests with a prompt that contain the crashing part."""
PROVOKED_REQUESTS = 9
"""Requests with the crashing part after which it has to be in quarantine: a server that is down may
get none."""
PROVOKED_REQUESTS_INTERVAL_S = 0.6
DOWN_S = 1.0
"""Time after which a crashed server listens again."""
RATE_LIMIT_PER_S = 4.0
LIMIT_WINDOW_S = 4.0
LIMIT_LEARN_S = 1.0
LIMIT_TOLERANCE = 1.5
LIMIT_SLACK_REQUESTS = 5


class ServerTrouble:
    """Crashes servers on request and checks the rate of a server that names a limit.

    :param servers: Servers with the proxies before them.
    """

    def __init__(
        self, *, servers: list[tuple[RecordingServer, FaultProxy]], rng: random.Random
    ) -> None:
        self._servers = servers
        self._rng = rng
        self._tasks: set[asyncio.Task[None]] = set()
        self._down: set[FaultProxy] = set()
        self.crashes = 0
        self.on_crash: Callable[[], None] = lambda: None
        """Called when a server crashes, and when it listens again."""
        self.crashing_share = CRASHING_SHARE
        """Share of the requests with a prompt that get the crashing part."""
        for server, proxy in servers:
            server.crash = partial(self._crash, proxy)

    def choose_prompt(self, number: int) -> str:
        """Return the header line with the prompt of a request."""
        thing = f"b{self._rng.randrange(20)}"
        parts = [SHARED_PART, thing, f"c{number}"]
        if self._rng.random() < self.crashing_share:
            parts.insert(2, CRASHING_PART)
        return prompt_header(parts)

    @property
    def has_crashed(self) -> bool:
        """Whether a server is down now."""
        return bool(self._down)

    def toggle_limit(self) -> str:
        """Let a server name a limit or lift it."""
        server, _ = self._rng.choice(self._servers)
        server.limit_per_s = None if server.limit_per_s else RATE_LIMIT_PER_S
        return f"server limit={server.limit_per_s}"

    def clear(self) -> None:
        """Lift all limits."""
        for server, _ in self._servers:
            server.limit_per_s = None

    async def check_limit(self) -> str:
        """Let a server name a limit and return how it was exceeded, or an empty string."""
        server, _ = self._servers[0]
        server.limit_per_s = RATE_LIMIT_PER_S
        await asyncio.sleep(LIMIT_LEARN_S)
        started_at = time.monotonic()
        await asyncio.sleep(LIMIT_WINDOW_S)
        server.limit_per_s = None
        arrivals = sum(started_at <= at < started_at + LIMIT_WINDOW_S for at in server.arrivals)
        allowed = LIMIT_TOLERANCE * RATE_LIMIT_PER_S * LIMIT_WINDOW_S + LIMIT_SLACK_REQUESTS
        return f"{arrivals} of at most {allowed} requests" if arrivals > allowed else ""

    def _crash(self, proxy: FaultProxy, killed: bool) -> None:
        self.crashes += 1
        task = asyncio.create_task(self.stop_for_a_while(proxy, killed=killed))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def stop_for_a_while(self, proxy: FaultProxy, *, killed: bool = False) -> None:
        """Cut a server's connections and let it listen again later, unless it is down already.

        :param killed: Whether the connections end regularly; otherwise they are reset.
        """
        if proxy in self._down:
            return
        self._down.add(proxy)
        self.on_crash()
        if killed:
            proxy.kill()
        else:
            proxy.stop()
        await asyncio.sleep(DOWN_S)
        await proxy.start()
        self._down.discard(proxy)
        self.on_crash()


def prompt_header(parts: list[str]) -> str:
    """Return the header line of a prompt.

    >>> prompt_header(["a1", "b2"])
    'X-Prompt-Prefix: a1:80,b2:80'
    """
    return "X-Prompt-Prefix: " + ",".join(f"{part}:80" for part in parts)
