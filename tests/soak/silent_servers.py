"""Servers of the soak test that fall silent for about a second and go on."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from tests.soak.requests import Violation

if TYPE_CHECKING:
    import random

    from tests.router.gateway.gateway_harness import CallerResponse
    from tests.soak.callers import Callers
    from tests.soak.fault_proxy import FaultProxy

MIN_SILENCE_S = 0.7
MAX_SILENCE_S = 1.2
SENT_BEFORE_S = 0.03
"""Time before a silence at which the checked requests are sent: they are at servers by then."""
KINDS = ("once", "many", "stream")


class SilentServers:
    """Lets one server or all fall silent; that is no trouble, so requests there are answered.

    :param proxies: Proxies before the servers.
    :param violations: Receives what was violated.
    """

    def __init__(
        self,
        *,
        rng: random.Random,
        proxies: list[FaultProxy],
        callers: Callers,
        violations: list[Violation],
    ) -> None:
        self._rng = rng
        self._proxies = proxies
        self._callers = callers
        self._violations = violations
        self._tasks: set[asyncio.Task[None]] = set()

    async def inject(self) -> str:
        """Let one server or all be silent from now on for a while."""
        if self._tasks:
            return "servers still silent"
        silent = self._proxies
        if self._rng.random() < 0.5:
            silent = [self._rng.choice(self._proxies)]
        task = asyncio.create_task(self._pause(silent))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return f"{len(silent)} servers silent"

    async def check(self, address: str) -> None:
        """Send requests to a gateway just before all servers fall silent, and check the answers."""
        requests = [(kind, self._callers.new_request_id(kind)) for kind in KINDS]
        tasks = [
            asyncio.create_task(self._callers.send_request(address, kind, request_id))
            for kind, request_id in requests
        ]
        await asyncio.sleep(SENT_BEFORE_S)
        await self._pause(self._proxies)
        responses: list[CallerResponse | None] = await asyncio.gather(*tasks)
        for (kind, request_id), response in zip(requests, responses, strict=True):
            self._callers.check_response(kind, request_id, response)
            if response is None or response.status != 200 or not response.complete:
                self._violations.append(Violation("silence", request_id, str(response)))

    async def _pause(self, proxies: list[FaultProxy]) -> None:
        for proxy in proxies:
            proxy.paused = True
        try:
            await asyncio.sleep(self._rng.uniform(MIN_SILENCE_S, MAX_SILENCE_S))
        finally:
            for proxy in proxies:
                proxy.paused = False
