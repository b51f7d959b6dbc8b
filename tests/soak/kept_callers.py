"""Callers of the soak test that keep using a connection until the gateway closes it."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

from tests.soak.callers import REQUEST_TIMEOUT_S
from tests.soak.config_series import IDLE_TIMEOUTS_MS
from tests.soak.requests import Violation
from tests.soak.requests import connect

if TYPE_CHECKING:
    import random
    from collections import Counter
    from collections.abc import Callable

    from tests.router.gateway.gateway_harness import CallerResponse
    from tests.soak.callers import Callers
    from tests.soak.requests import Streams

KINDS = ("once", "many", "stream")
MAX_ELAPSED_S = 2.0
"""Time after which a request may end at its deadline or its route's timeout, which is 2.5 s."""
RECONNECT_S = 0.1
IDLE_SHARE = 0.05
"""Share of the requests that are sent when the shortest idle timeout ends."""


class KeptCallers:
    """Sends requests on kept connections and checks that those that ran are answered whole.

    Planned stops, reloads, configuration changes, faults of the store and silent servers excuse
    nothing here.

    :param runs: Executions by request id, as the servers count them.
    :param addresses: Addresses of the gateways.
    :param was_calm: Tells whether no fault has hit a gateway and the servers since a time.
    :param violations: Receives what was violated.
    """

    def __init__(
        self,
        *,
        rng: random.Random,
        runs: Counter[str],
        callers: Callers,
        addresses: list[str],
        was_calm: Callable[[int, float], bool],
        violations: list[Violation],
    ) -> None:
        self._rng = rng
        self._runs = runs
        self._callers = callers
        self._addresses = addresses
        self._was_calm = was_calm
        self._violations = violations
        self.checked = 0
        """Requests without a fault on their path."""

    async def send_requests(self, number: int) -> None:
        """Send requests to a gateway until cancelled."""
        streams: Streams | None = None
        while True:
            await asyncio.sleep(self._choose_pause())
            if streams is None:
                streams = await self._connect(number)
                continue
            kind = self._rng.choice(KINDS)
            request_id = self._callers.new_request_id(kind)
            sent_at = time.monotonic()
            response = await self._exchange(streams, kind, request_id)
            if response is not None:
                self._callers.check_response(kind, request_id, response)
                self._check_answer(number, request_id, response, sent_at)
            if response is None or not response.complete or "close" in response.head.lower():
                streams[1].close()
                streams = None

    def _choose_pause(self) -> float:
        if self._rng.random() < IDLE_SHARE:
            return min(IDLE_TIMEOUTS_MS) / 1000 + self._rng.uniform(-0.02, 0.02)
        return self._rng.uniform(0.0, 0.03)

    async def _connect(self, number: int) -> Streams | None:
        try:
            return await connect(self._addresses[number])
        except OSError:
            await asyncio.sleep(RECONNECT_S)
            return None

    async def _exchange(
        self, streams: Streams, kind: str, request_id: str
    ) -> CallerResponse | None:
        try:
            async with asyncio.timeout(REQUEST_TIMEOUT_S):
                return await self._callers.exchange(streams, kind, request_id)
        except (OSError, TimeoutError):
            return None

    def _check_answer(
        self, number: int, request_id: str, response: CallerResponse, sent_at: float
    ) -> None:
        elapsed_s = time.monotonic() - sent_at
        if elapsed_s > MAX_ELAPSED_S or not self._was_calm(number, sent_at):
            return
        self.checked += 1
        if not response.complete and self._runs[request_id]:
            detail = f"ran, gateway-{number}, {elapsed_s:.2f} s, {response}"
            self._violations.append(Violation("answered", request_id, detail))
