"""Emulated fleet: the routers and model servers of one experiment."""

from __future__ import annotations

import math
from functools import partial
from typing import TYPE_CHECKING

from cornellead_core.routing import ServerEntry
from cornellead_emulator.routing._emulated_rollouts import EmulatedRollouts
from cornellead_emulator.routing._emulated_router import ANNOUNCEMENT_INTERVAL_S
from cornellead_emulator.routing._emulated_router import EmulatedRouter
from cornellead_emulator.routing._gateway_request_factory import SERVICE_NAME
from cornellead_emulator.routing._gateway_request_factory import GatewayRequestFactory
from cornellead_emulator.servers import ModelServer

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from cornellead.gateway.policy import ChatOrder
    from cornellead_emulator.routing._experiment_metrics import ExperimentMetrics
    from cornellead_emulator.routing._fleet_settings import FleetSettings
    from cornellead_emulator.simulation import EventQueue
    from cornellead_emulator.traffic import ChatRequest

LOAD_BOUND_SLACK = 3.0
"""Requests that a server may have in addition to the allowed multiple of the mean load."""
IMPATIENT_RETRY_DELAY_S = 0.01
"""Delay after which an impatient caller retries, whatever delay the router asks for."""
IMPATIENT_MAX_RETRIES = 3
PATIENT_MAX_RETRIES = 1


class Fleet:
    """Starts, drains and stops servers; the routers are notified with a random delay.

    :param make_order: Creates the placement order of one router from a seed.
    :param impatient_share: Fraction of the callers that retry at once when refused.
    """

    def __init__(
        self,
        *,
        settings: FleetSettings,
        make_order: Callable[[int], ChatOrder],
        queue: EventQueue,
        metrics: ExperimentMetrics,
        rng: random.Random,
        impatient_share: float = 0.0,
    ) -> None:
        self.settings = settings
        self._queue = queue
        self._metrics = metrics
        self._rng = rng
        self._impatient_share = impatient_share
        self._started_count = 0
        self._servers: dict[str, ModelServer] = {}
        self._entries: dict[str, ServerEntry] = {}
        request_factory = GatewayRequestFactory(settings=settings)
        self._service = request_factory.service
        self.routers = [
            EmulatedRouter(
                name=f"r{number}",
                data_centre=self._data_centre(number),
                settings=settings,
                order=make_order(number),
                request_factory=request_factory,
                queue=queue,
                metrics=metrics,
                on_arrival=self._on_arrival,
                find_server=self._servers.get,
                on_refused=self._retry_later,
            )
            for number in range(settings.routers)
        ]
        self.rollouts = EmulatedRollouts(routers=self.routers, queue=queue, rng=rng)
        for _ in range(settings.servers):
            self.start_server(cold=False)
        self._announce_routers()
        queue.schedule_every(ANNOUNCEMENT_INTERVAL_S, self._announce_routers)
        queue.schedule_every(settings.report_interval_s, self._exchange_reports)

    @property
    def servers(self) -> list[str]:
        """Names of the running servers, the oldest first."""
        return list(self._servers)

    def order_rollout(self, *, to: str, duration_s: float) -> None:
        """Order the routers to move all requests to the servers of a version."""
        self.rollouts.order(
            self._service, to=to, duration_s=duration_s, recipients=self.settings.reports_heard
        )

    def start_server(self, *, cold: bool = True, version: str = "", slowness: float = 1.0) -> str:
        """Start a server and return its name.

        :param slowness: Factor by which its steps take longer than usual.
        """
        name, factors = f"s{self._started_count}", self.settings.work_factors
        data_centre = self._data_centre(self._started_count)
        self._started_count += 1
        self._servers[name] = ModelServer(
            name=name,
            settings=self.settings.server.slowed(slowness),
            queue=self._queue,
            mean_work_factor=factors[self._started_count % len(factors)],
        )
        self._publish_entry(
            ServerEntry(
                server=name,
                service=SERVICE_NAME,
                address=name,
                data_centre=data_centre,
                slots=self.settings.server.slots,
                draining=False,
                cold_s=self.settings.server.cold_s if cold else 0.0,
                started_ms=1,
                version=version,
            )
        )
        return name

    def drain(self, server: str, *, after_s: float) -> None:
        """Announce that a server is leaving, and stop it after a delay in seconds."""
        self._publish_entry(self._entries[server]._replace(draining=True))
        self._queue.schedule_after(after_s, lambda: self.crash(server))

    def crash(self, server: str) -> None:
        """Stop a server at once: its requests fail and its entry is removed."""
        crashed = self._servers.pop(server, None)
        if crashed is None:
            return
        crashed.crash()
        self._entries.pop(server)
        self._notify_routers(lambda router: router.view.servers.remove(server, now=self._queue.now))
        self._notify_routers(lambda router: router.view.prompts.remove_server(server))

    def set_out_of_service(self, data_centre: str, *, out: bool) -> None:
        """Take a data centre out of service, or put it back into service."""
        cold_s = self.settings.server.cold_s

        def update(router: EmulatedRouter) -> None:
            router.view.servers.return_cold_s = cold_s
            router.view.servers.set_out_of_service(data_centre, out=out, now=self._queue.now)

        self._notify_routers(update)

    def submit(self, req: ChatRequest) -> None:
        """Send a new request to a random router."""
        self._metrics.record_submitted(req)
        self._choose_router().handle(req)

    def _choose_router(self) -> EmulatedRouter:
        """Choose a router at random, by the demand of its data centre at the moment."""
        cfg = self.settings
        if cfg.swing <= 0:
            return self._rng.choice(self.routers)
        turn = self._queue.now / cfg.swing_period_s
        shares = [
            1.0 + cfg.swing * math.sin(2 * math.pi * (turn + number / cfg.data_centres))
            for number in range(cfg.data_centres)
        ]
        weights = [shares[number % len(shares)] for number in range(len(self.routers))]
        return self._rng.choices(self.routers, weights)[0]

    def _retry_later(self, req: ChatRequest, wait_s: float) -> None:
        impatient = req.number % 100 < 100 * self._impatient_share
        max_retries = IMPATIENT_MAX_RETRIES if impatient else PATIENT_MAX_RETRIES
        retry_at = self._queue.now + (IMPATIENT_RETRY_DELAY_S if impatient else wait_s)
        if req.attempt > max_retries or retry_at >= req.deadline:
            self._metrics.refused += 1
            return
        retried = req._replace(attempt=req.attempt + 1)
        self._queue.schedule_at(retry_at, lambda: self._rng.choice(self.routers).handle(retried))

    def _data_centre(self, number: int) -> str:
        return f"dc{number % self.settings.data_centres}"

    def _publish_entry(self, entry: ServerEntry) -> None:
        self._entries[entry.server] = entry
        if self._queue.now <= 0:
            # The initial servers are added to the views of all routers without a delay.
            for router in self.routers:
                router.view.servers.put(entry, now=0.0)
            return
        self._notify_routers(lambda router: router.view.servers.put(entry, now=self._queue.now))

    def _notify_routers(self, update: Callable[[EmulatedRouter], object]) -> None:
        for router in self.routers:
            lag_s = self._rng.uniform(0.0, 2 * self.settings.list_lag_s)
            self._queue.schedule_after(lag_s, partial(update, router))

    def _announce_routers(self) -> None:
        for router in self.routers:
            router.apply_announcements(self.routers)

    def _exchange_reports(self) -> None:
        receiver_count = min(self.settings.reports_heard, len(self.routers) - 1)
        if receiver_count <= 0:
            return
        for router in self.routers:
            report, work = router.build_report(), router.build_work_report()
            others = [other for other in self.routers if other is not router]
            for other in self._rng.sample(others, receiver_count):
                other.receive_report(report)
                if work is not None:
                    other.receive_work_report(work)

    def _on_arrival(self, server: str) -> ModelServer | None:
        """Record that a request arrives at a server.

        :returns: The server, or ``None`` if it no longer runs.
        """
        target = self._servers.get(server)
        if target is None:
            return None
        loads = [other.load for other in self._servers.values()]
        load_bound = self.settings.load_factor * sum(loads) / len(loads) + LOAD_BOUND_SLACK
        self._metrics.arrivals += 1
        self._metrics.over_bound += target.load > load_bound
        return target
