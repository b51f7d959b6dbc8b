"""Servers of the soak test that leave and come back as another process, or ask for a pause."""

from __future__ import annotations

import asyncio
import time
from functools import partial
from typing import TYPE_CHECKING
from typing import NamedTuple

from tests.platform_adapter import payloads
from tests.soak.fault_proxy import FaultProxy
from tests.soak.servers import RecordingServer

if TYPE_CHECKING:
    import random

    from tests.platform_adapter.fake_store import FakeStore
    from tests.soak.server_notices import ServerNotices
    from tests.soak.server_trouble import ServerTrouble

TOPIC = "keyed.servers"
SLOTS = 6
MIN_LEAVE_S, MAX_LEAVE_S = 2.5, 4.0
MIN_PAUSE_S, MAX_PAUSE_S = 0.8, 3.0
LAPSE_AFTER_S = 0.3
LATE_WRITE_AFTER_S = 2.2
"""Time from the leaving to a late write of the entry: gateways know of the leaving by then."""
RESTART_MS = 1000
"""Difference between the start times of a server's processes."""


class SoakServer(NamedTuple):
    """A server with the proxy before it."""

    name: str
    server: RecordingServer
    proxy: FaultProxy


class LeavingServers:
    """Lets servers leave, one at a time, and ask for pauses.

    :param servers: Servers, which it registers in the store.
    :param trouble: Stops and restarts servers.
    """

    def __init__(
        self,
        *,
        rng: random.Random,
        store: FakeStore,
        servers: list[SoakServer],
        trouble: ServerTrouble,
        notices: ServerNotices,
    ) -> None:
        self._rng = rng
        self._store = store
        self._servers = servers
        self._trouble = trouble
        self._notices = notices
        self._task: asyncio.Task[None] | None = None
        self._hurry = asyncio.Event()
        """Ends the time for which a server is leaving."""
        self._started_ms: dict[str, int] = {}
        self._sequences: dict[str, int] = {}
        self._leaves = 0
        for name, server, _ in servers:
            server.name = name
            server.on_arrival = partial(notices.check_arrival, name)
            server.on_pause = partial(notices.record_pause, name)
            self._register(name)

    async def let_leave(self) -> str:
        """Let a server leave, go and come back, unless one is leaving now."""
        if self._task is not None and not self._task.done():
            return "server still leaving"
        chosen = self._rng.choice(self._servers)
        self._task = asyncio.create_task(self._leave(chosen))
        return f"{chosen.name} leaving"

    async def ask_for_pause(self) -> str:
        """Let a server refuse all requests for a while and name the time in its refusals."""
        chosen = self._rng.choice(self._servers)
        pause_s = self._rng.uniform(MIN_PAUSE_S, MAX_PAUSE_S)
        chosen.server.paused_until = time.monotonic() + pause_s
        return f"{chosen.name} pause={pause_s:.2f}"

    def finish(self) -> None:
        """End all pauses, and let the server that is leaving go now and come back."""
        self._hurry.set()
        for name, server, _ in self._servers:
            server.paused_until = 0.0
            # A store that came back from a copy may hold an older entry.
            if not server.leaving:
                self._register(name)

    async def _leave(self, chosen: SoakServer) -> None:
        name, server, proxy = chosen
        server.leaving = True
        self._leaves += 1
        late_write: asyncio.Task[None] | None = None
        if self._rng.random() < 0.5:
            self._register(name, state="draining")
        elif self._leaves % 2:
            late_write = asyncio.create_task(self._lapse_and_write_late(name))
        try:
            async with asyncio.timeout(self._rng.uniform(MIN_LEAVE_S, MAX_LEAVE_S)):
                await self._hurry.wait()
        except TimeoutError:
            pass
        if late_write is not None:
            late_write.cancel()
        self._store.put(TOPIC, name, None)
        await self._trouble.stop_for_a_while(proxy)
        self._notices.forget(name)
        server.leaving = False
        server.paused_until = 0.0
        self._started_ms[name] += RESTART_MS
        self._sequences[name] = 0
        self._register(name)

    async def _lapse_and_write_late(self, name: str) -> None:
        """Remove the entry of a server that is leaving, and let an earlier heartbeat come late."""
        await asyncio.sleep(LAPSE_AFTER_S)
        self._store.put(TOPIC, name, None)
        await asyncio.sleep(LATE_WRITE_AFTER_S - LAPSE_AFTER_S)
        self._register(name)

    def _register(self, name: str, **changes: object) -> None:
        entry = payloads.server_entry(
            next(proxy.address for other, _, proxy in self._servers if other == name),
            service="app",
            slots=SLOTS,
        )
        started_ms = self._started_ms.setdefault(name, entry["born"])
        self._sequences[name] = self._sequences.get(name, 0) + 1
        counts = {"born": started_ms, "sequence": self._sequences[name]}
        self._store.put(TOPIC, name, entry | counts | changes)
