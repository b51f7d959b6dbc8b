"""Readings of a fleet while traffic runs."""

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

READ_INTERVAL_S = 1.0
BOUND = 1.25


class Watcher:
    """Reads control traffic and memory of agents and routers, and the load of engines."""

    def __init__(self, *, fleet: Fleet, client: httpx.AsyncClient) -> None:
        self._fleet = fleet
        self._client = client
        self.control = ControlRate()
        self.resident_mb: dict[str, float] = {}
        """Highest resident memory by process."""
        self.absent: dict[str, list[tuple[float, float]]] = {}
        """Times in which an engine takes no work."""

    async def run(self) -> None:
        """Read until cancelled."""
        while True:
            for name, url in self._status_urls().items():
                await self._read(name, f"{url}/status")
            await asyncio.sleep(READ_INTERVAL_S)

    async def skew(self) -> Skew:
        """Compare the loads of all engines over their whole history."""
        return measure_skew(await self.histories(), bound=BOUND, absent=self.absent)

    async def histories(self) -> dict[str, LoadChanges]:
        """Read the starts and ends of requests at each engine."""
        found: dict[str, LoadChanges] = {}
        for engine in self._fleet.plan.engines:
            resp = await self._client.get(f"{self._fleet.server_url(engine.name)}/history")
            found[engine.name] = [(at_s, change) for at_s, change in resp.json()["changes"]]
        return found

    async def _read(self, name: str, url: str) -> None:
        try:
            body = (await self._client.get(url)).json()
        except (httpx.HTTPError, ValueError):
            # A process that was stopped or is not ready yet has no reading.
            return
        self.control.add(name, body["control_bytes"], at_s=time.monotonic())
        resident_mb = self._fleet.processes[name].usage().resident_mb
        self.resident_mb[name] = max(self.resident_mb.get(name, 0.0), resident_mb)

    def _status_urls(self) -> dict[str, str]:
        fleet = self._fleet
        urls = {f"agent-{each.name}": fleet.agent_url(each.name) for each in fleet.plan.servers}
        names = (router.name for router in fleet.plan.routers)
        return urls | dict(zip(names, fleet.router_urls, strict=True))
