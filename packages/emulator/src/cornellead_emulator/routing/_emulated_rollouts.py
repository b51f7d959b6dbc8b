"""Rollouts by the emulated routers, with the part of the store that they need."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any
from typing import cast

from returns.result import Result
from returns.result import Success

from cornellead.gateway.stats import GatewayStats
from cornellead.gateway.sync import RolloutController
from cornellead_core.metrics import Metrics
from cornellead_core.routing import CallerLimits
from cornellead_core.routing import NoticeBatch
from cornellead_core.routing import RolloutNotice
from cornellead_core.routing import RolloutOrder
from cornellead_core.routing import RoutingConfig
from cornellead_core.routing import RoutingData

if TYPE_CHECKING:
    import random
    from collections.abc import Coroutine
    from collections.abc import Sequence

    from cornellead_core.routing import FleetStore
    from cornellead_core.routing import RolloutRecord
    from cornellead_core.routing import Service
    from cornellead_core.routing import StoreError
    from cornellead_core.routing import Topic
    from cornellead_emulator.routing._emulated_router import EmulatedRouter
    from cornellead_emulator.simulation import EventQueue

ADVANCE_INTERVAL_S = 0.2
READ_INTERVAL_S = 1.0
EXPOSURE_SHARE = 0.1
NO_LIMITS = CallerLimits(header_bytes=0, body_bytes=0, header_timeout_s=0.0, idle_timeout_s=0.0)


class RolloutLog:
    """States and statuses of rollouts in memory; its calls take no time."""

    def __init__(self) -> None:
        self.records: list[RolloutNotice] = []
        self.statuses: list[str] = []

    async def read_newest(self, topic: Topic) -> Result[NoticeBatch, StoreError]:
        """Return the newest state of each service."""
        newest = {notice.service: notice for notice in self.records}
        return Success(NoticeBatch([*newest.values()], len(self.records)))

    async def append_rollout(
        self, service: str, record: RolloutRecord, *, at: int
    ) -> Result[bool, StoreError]:
        """Append a state if the log ends at an offset."""
        if at != len(self.records):
            return Success(False)
        self.records.append(RolloutNotice(service, record))
        return Success(True)

    async def publish_rollout_status(
        self, service: str, record: RolloutRecord
    ) -> Result[None, StoreError]:
        """Record the status that operators read."""
        self.statuses.append(record.phase.status)
        return Success(None)


class EmulatedRollouts:
    """Runs the gateway's controller of each router on simulated time, from the first order on."""

    def __init__(
        self, *, routers: Sequence[EmulatedRouter], queue: EventQueue, rng: random.Random
    ) -> None:
        self._routers = routers
        self._queue = queue
        self._rng = rng
        self.log = RolloutLog()
        self._controllers: list[RolloutController] = []

    def order(self, service: Service, *, to: str, duration_s: float, recipients: int) -> None:
        """Order a rollout.

        :param recipients: Number of routers that receive each report.
        """
        cfg = RoutingConfig(data=RoutingData(1, (), (service,), NO_LIMITS, (), False))
        order = RolloutOrder(service.name, to, duration_s, order_id=1)
        for router in self._routers:
            router.view.activate_config(cfg)
            router.view.rollouts.apply_order(order, now=self._queue.now)
            self._controllers.append(
                RolloutController(
                    reader=cast("FleetStore", self.log),
                    store=self.log,
                    view=router.view,
                    stats=GatewayStats(metrics=Metrics()),
                    clock=lambda: self._queue.now,
                    exposure_share=lambda: EXPOSURE_SHARE,
                    read_interval_s=lambda: READ_INTERVAL_S,
                )
            )
        self._queue.schedule_every(ADVANCE_INTERVAL_S, lambda: self._advance(recipients))

    def _advance(self, recipients: int) -> None:
        for router in self._routers:
            report = router.view.rollouts.make_report(now=self._queue.now)
            others = [other for other in self._routers if other is not router]
            if report is not None:
                for other in self._rng.sample(others, min(recipients, len(others))):
                    other.view.rollouts.apply_report(report, now=self._queue.now)
        for controller in self._controllers:
            _run_at_once(controller.advance())


def _run_at_once(step: Coroutine[Any, Any, None]) -> None:
    """Run a coroutine whose calls take no simulated time, and which therefore never waits."""
    try:
        step.send(None)
    except StopIteration:
        return
    raise RuntimeError("a call of the emulated store waited")
