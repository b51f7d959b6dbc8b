"""Periodic samples of a fleet under load."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

import httpx

from scripts.traffic._control_rate import ControlRate
from scripts.traffic._skew import Skew
from scripts.traffic._skew import measure_skew

if TYPE_CHECKING:
    from scripts.fleet import Fleet
    from scripts.traffic._skew import LoadChanges

SAMPLE_INTERVAL_S = 1.0
LOAD_BOUND = 1.25


class FleetMonitor:
    """Samples control traffic and memory of agents and routers; reads load histories of engines."""

    def __init__(self, *, fleet: Fleet, client: httpx.AsyncClient) -> None:
        self._fleet = fleet
        self._client = client
        self.control_rate = ControlRate()
        self.peak_resident_mb: dict[str, float] = {}
        """Peak resident memory by process."""
        self.unavailable: dict[str, list[tuple[float, float]]] = {}
        """Periods in which an engine accepts no requests, for example while its agent is down."""

    async def run(self) -> None:
        """Sample all agents and routers every second until cancelled."""
        while True:
            for name, url in self._status_urls().items():
                await self._sample(name, f"{url}/status")
            await asyncio.sleep(SAMPLE_INTERVAL_S)

    async def skew(self) -> Skew:
        """Compute the load skew over the whole history of all engines."""
        return measure_skew(
            await self.load_histories(), bound=LOAD_BOUND, unavailable=self.unavailable
        )

    async def load_histories(self) -> dict[str, LoadChanges]:
        """Read the load changes of each engine."""
        histories: dict[str, LoadChanges] = {}
        for engine in self._fleet.plan.engines:
            resp = await self._client.get(f"{self._fleet.server_url(engine.name)}/history")
            histories[engine.name] = [(at_s, change) for at_s, change in resp.json()["changes"]]
        return histories

    async def _sample(self, name: str, url: str) -> None:
        try:
            body = (await self._client.get(url)).json()
        except (httpx.HTTPError, ValueError):
            # The process is stopped or not ready yet.
            return
        self.control_rate.add_sample(name, body["control_bytes"], at_s=time.monotonic())
        resident_mb = self._fleet.processes[name].usage().resident_mb
        self.peak_resident_mb[name] = max(self.peak_resident_mb.get(name, 0.0), resident_mb)

    def _status_urls(self) -> dict[str, str]:
        fleet = self._fleet
        urls = {f"agent-{each.name}": fleet.agent_url(each.name) for each in fleet.plan.servers}
        names = (router.name for router in fleet.plan.routers)
        return urls | dict(zip(names, fleet.router_urls, strict=True))
