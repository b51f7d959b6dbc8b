"""Routers and model servers of one experiment."""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING

from cornellead_core.routing import ServerEntry
from cornellead_emulator.routing._emulated_router import MEMBER_INTERVAL_S
from cornellead_emulator.routing._emulated_router import EmulatedRouter
from cornellead_emulator.routing._job_factory import SERVICE
from cornellead_emulator.routing._job_factory import JobFactory
from cornellead_emulator.servers import ModelServer

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from cornellead.gateway.policy import ChatOrder
    from cornellead_emulator.routing._fleet_settings import FleetSettings
    from cornellead_emulator.routing._tally import Tally
    from cornellead_emulator.simulation import EventQueue
    from cornellead_emulator.traffic import ChatRequest

ALLOWED_SLACK = 3.0
"""Requests above the multiple of the mean load that a server may have."""
IMPATIENT_S = 0.01
"""Time after which a caller that does not wait comes back."""
IMPATIENT_RETRIES = 3
PATIENT_RETRIES = 1


class Fleet:
    """Starts, drains and ends servers, and tells the routers with a lag.

    :param make_order: Makes the placement order of one router from a seed.
    :param impatient_share: Part of the callers that come back at once when refused.
    """

    def __init__(
        self,
        *,
        settings: FleetSettings,
        make_order: Callable[[int], ChatOrder],
        queue: EventQueue,
        tally: Tally,
        rng: random.Random,
        impatient_share: float = 0.0,
    ) -> None:
        self.settings = settings
        self._queue = queue
        self._tally = tally
        self._rng = rng
        self._impatient_share = impatient_share
        self._started = 0
        self._servers: dict[str, ModelServer] = {}
        self._entries: dict[str, ServerEntry] = {}
        jobs = JobFactory(settings=settings)
        self.routers = [
            EmulatedRouter(
                name=f"r{number}",
                data_centre=self._data_centre(number),
                settings=settings,
                order=make_order(number),
                jobs=jobs,
                queue=queue,
                tally=tally,
                reach=self._reach,
                find=self._servers.get,
                refused=self._come_back,
            )
            for number in range(settings.routers)
        ]
        for _ in range(settings.servers):
            self.start_server(cold=False)
        self._meet()
        queue.every(MEMBER_INTERVAL_S, self._meet)
        queue.every(settings.report_interval_s, self._exchange_reports)

    @property
    def servers(self) -> list[str]:
        """Names of the running servers, the oldest first."""
        return list(self._servers)

    def start_server(self, *, cold: bool = True) -> str:
        """Start a server and return its name."""
        name = f"s{self._started}"
        data_centre = self._data_centre(self._started)
        self._started += 1
        self._servers[name] = ModelServer(
            name=name, settings=self.settings.server, queue=self._queue
        )
        self._announce(
            ServerEntry(
                server=name,
                service=SERVICE,
                address=name,
                data_centre=data_centre,
                slots=self.settings.server.slots,
                draining=False,
                cold_s=self.settings.server.cold_s if cold else 0.0,
                started_ms=1,
            )
        )
        return name

    def drain(self, server: str, *, after_s: float) -> None:
        """Announce that a server leaves, and end it after a time in seconds."""
        self._announce(self._entries[server]._replace(draining=True))
        self._queue.after(after_s, lambda: self.crash(server))

    def crash(self, server: str) -> None:
        """End a server; its requests fail and its entry goes."""
        gone = self._servers.pop(server, None)
        if gone is None:
            return
        gone.crash()
        self._entries.pop(server)
        self._tell(lambda router: router.view.servers.remove(server, now=self._queue.now))
        self._tell(lambda router: router.view.prompts.forget_server(server))

    def set_out(self, data_centre: str, *, out: bool) -> None:
        """Take a data centre out of service or put it back."""
        cold_s = self.settings.server.cold_s

        def take(router: EmulatedRouter) -> None:
            router.view.servers.return_cold_s = cold_s
            router.view.servers.set_out(data_centre, out=out, now=self._queue.now)

        self._tell(take)

    def submit(self, req: ChatRequest) -> None:
        """Send a new request to some router."""
        self._tally.asked += 1
        self._rng.choice(self.routers).handle(req)

    def _come_back(self, req: ChatRequest, wait_s: float) -> None:
        impatient = req.number % 100 < 100 * self._impatient_share
        most = IMPATIENT_RETRIES if impatient else PATIENT_RETRIES
        back_at = self._queue.now + (IMPATIENT_S if impatient else wait_s)
        if req.attempt > most or back_at >= req.deadline:
            self._tally.refused += 1
            return
        again = req._replace(attempt=req.attempt + 1)
        self._queue.at(back_at, lambda: self._rng.choice(self.routers).handle(again))

    def _data_centre(self, number: int) -> str:
        return f"dc{number % self.settings.data_centres}"

    def _announce(self, entry: ServerEntry) -> None:
        self._entries[entry.server] = entry
        if self._queue.now <= 0:
            for router in self.routers:
                router.view.servers.put(entry, now=0.0)
            return
        self._tell(lambda router: router.view.servers.put(entry, now=self._queue.now))

    def _tell(self, take: Callable[[EmulatedRouter], object]) -> None:
        for router in self.routers:
            lag_s = self._rng.uniform(0.0, 2 * self.settings.list_lag_s)
            self._queue.after(lag_s, partial(take, router))

    def _meet(self) -> None:
        for router in self.routers:
            router.meet(self.routers)

    def _exchange_reports(self) -> None:
        heard = min(self.settings.reports_heard, len(self.routers) - 1)
        if heard <= 0:
            return
        for router in self.routers:
            report = router.report()
            others = [other for other in self.routers if other is not router]
            for other in self._rng.sample(others, heard):
                other.hear(report)

    def _reach(self, server: str) -> ModelServer | None:
        """Return a running server that a request reaches."""
        found = self._servers.get(server)
        if found is None:
            return None
        loads = [other.load for other in self._servers.values()]
        allowed = self.settings.load_factor * sum(loads) / len(loads) + ALLOWED_SLACK
        self._tally.arrivals += 1
        self._tally.over_bound += found.load > allowed
        return found
