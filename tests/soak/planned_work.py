"""Planned stops, reloads and configuration changes of the soak test, close to each other."""

from __future__ import annotations

import asyncio
import signal
from typing import TYPE_CHECKING

from tests.soak.requests import Violation

if TYPE_CHECKING:
    import random

    from tests.soak.config_series import ConfigSeries
    from tests.soak.gateway_processes import GatewayProcesses

SERIES = (
    "term term",
    "hup term",
    "term hup",
    "config term",
    "term config",
    "config hup config",
    "hup config term hup",
)
MAX_PAUSE_S = 0.3


class PlannedWork:
    """Sends signals to gateways in series and publishes configurations between them.

    :param violations: Receives what was violated.
    """

    def __init__(
        self,
        *,
        rng: random.Random,
        gateways: GatewayProcesses,
        configs: ConfigSeries,
        violations: list[Violation],
    ) -> None:
        self._rng = rng
        self._gateways = gateways
        self._configs = configs
        self._violations = violations

    async def inject(self) -> str:
        """Run a series on a gateway chosen at random."""
        number, series = self._gateways.choose(), self._rng.choice(SERIES)
        await self._run_series(number, series)
        return f"gateway-{number} {series}"

    async def check(self, numbers: list[int]) -> str:
        """Run a series with a stop on each gateway; check that all end within the grace period."""
        stopping = [series for series in SERIES if "term" in series]
        chosen = [self._rng.choice(stopping) for _ in numbers]
        await asyncio.gather(*map(self._run_series, numbers, chosen))
        await self._gateways.wait_for_stops()
        for number, series in zip(numbers, chosen, strict=True):
            if self._gateways.is_running(number):
                self._violations.append(
                    Violation("planned stop", f"gateway-{number}", f"still runs after {series}")
                )
                await self._gateways.kill(number)
        return f"{numbers} {chosen}"

    async def _run_series(self, number: int, series: str) -> None:
        for step in series.split():
            if step == "config":
                self._configs.publish_series()
            else:
                sig = signal.SIGTERM if step == "term" else signal.SIGHUP
                self._gateways.send_signal(number, sig)
                self._configs.record_disturbance(number)
            await asyncio.sleep(self._rng.choice([0.0, self._rng.uniform(0.0, MAX_PAUSE_S)]))
