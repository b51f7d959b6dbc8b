"""Callers of the soak test that check which configuration each gateway serves."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

from tests.soak.callers import REQUEST_TIMEOUT_S
from tests.soak.requests import Violation
from tests.soak.requests import connect

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from tests.soak.callers import Callers
    from tests.soak.config_series import ConfigSeries
    from tests.soak.gateway_processes import GatewayProcesses
    from tests.soak.requests import Streams


class ConfigCallers:
    """Sends requests on added routes to each gateway.

    :param is_disturbed: Tells whether a fault hits the gateway of a number.
    :param violations: Receives what the responses violate.
    """

    def __init__(
        self,
        *,
        rng: random.Random,
        callers: Callers,
        gateways: GatewayProcesses,
        configs: ConfigSeries,
        is_disturbed: Callable[[int], bool],
        violations: list[Violation],
    ) -> None:
        self._rng = rng
        self._callers = callers
        self._gateways = gateways
        self._configs = configs
        self._is_disturbed = is_disturbed
        self._violations = violations

    async def check_configs(self, number: int) -> None:
        """Send requests to a gateway until cancelled, on one connection while it stays open."""
        streams: Streams | None = None
        address = self._gateways.caller_addresses[number]
        while True:
            await asyncio.sleep(self._rng.uniform(0.02, 0.06))
            if self._is_disturbed(number):
                self._configs.record_disturbance(number)
            route, process = self._configs.choose(), self._gateways.processes[number]
            if route is None or process is None:
                continue
            sent_at = time.monotonic()
            try:
                async with asyncio.timeout(REQUEST_TIMEOUT_S):
                    streams = streams or await connect(address)
                    request_id = self._callers.new_request_id("many")
                    response = await self._callers.exchange(streams, route.name, request_id)
            except (OSError, TimeoutError):
                response = None
            if response is None or not response.complete or "close" in response.head.lower():
                if streams is not None:
                    streams[1].close()
                streams = None
            if response is None or self._gateways.processes[number] is not process:
                continue
            detail = self._configs.find_violation(
                number, process.pid, route, response.status, sent_at=sent_at
            )
            if detail:
                self._violations.append(Violation("configuration", address, detail))
