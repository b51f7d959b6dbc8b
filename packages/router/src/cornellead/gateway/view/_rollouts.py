"""Orders of rollouts, their state in the store, and what routers counted of both versions."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING
from typing import NamedTuple

import structlog

from cornellead.gateway.gossip import Age
from cornellead.gateway.gossip import Count
from cornellead.gateway.gossip import RouterName
from cornellead.gateway.view._rollout import Rollout

if TYPE_CHECKING:
    from collections.abc import Iterator

    from cornellead_core.routing import RolloutOrder
    from cornellead_core.routing import RolloutRecord

REPORT_INTERVAL_S = 1.5
"""Time between reports on a rollout: they share the bytes of the load reports."""
MAX_ROUTES = 24
"""Maximum number of routes in a report, to keep it within one packet."""
FAULT_ROUNDS = 6
"""Reports in which a fault is sent at once: datagrams may be lost."""
DRAIN_S = 60.0
"""Time after a rollback in which servers of the version may still be listed: they drain for some
seconds. A version that is listed later was started anew, and may be the one in force."""
MAX_FAULT_LENGTH = 120
MAX_RUN_ID = (1 << 31) - 1


class RouteItem(NamedTuple):
    """Responses of both versions on one route since the order."""

    route: str
    new: Count
    new_bad: Count
    old: Count
    old_bad: Count


class RolloutReport(NamedTuple):
    """Message between routers. An age is used, since the clocks of routers differ."""

    router: RouterName
    run_id: Count
    """Random number of the process, whose counts began at zero."""
    service: str
    order_id: int
    elapsed_s: Age
    """Time since the order."""
    fault: str
    """Why the new version is bad; empty if it is not."""
    routes: list[RouteItem]


class Rollouts:
    """The rollouts that this router knows of, by service.

    A rollout stays until another order of its service: the servers of a version that is bad remain
    for some seconds after their order was withdrawn.

    :param router: Name of this router.
    """

    def __init__(self, *, router: str) -> None:
        self._router = router
        self._run_id = random.randint(0, MAX_RUN_ID)
        self._rollouts: dict[str, Rollout] = {}

    def __iter__(self) -> Iterator[Rollout]:
        return iter(self._rollouts.values())

    def get(self, service: str) -> Rollout | None:
        """Return the rollout of a service; ``None`` if there is none."""
        return self._rollouts.get(service)

    @property
    def open(self) -> list[Rollout]:
        """Rollouts whose end is not yet in the store, or not yet told to operators."""
        return [rollout for rollout in self._rollouts.values() if rollout.open]

    def apply_order(self, order: RolloutOrder, *, now: float) -> None:
        """Apply an order, which replaces an earlier one of its service.

        An order for a version whose rollout runs changes the duration only.

        :param now: Seconds.
        """
        rollout = self._rollouts.get(order.service)
        if rollout is not None and rollout.order == order and not rollout.withdrawn:
            return
        continued = (
            rollout is not None
            and rollout.open
            and rollout.order.to == order.to
            and (rollout.current is None or not rollout.current.phase.ended)
        )
        if rollout is not None and continued and not rollout.fault:
            rollout.order, rollout.withdrawn = order, False
        else:
            before = rollout
            rollout = self._rollouts[order.service] = Rollout(order=order, now=now)
            if before is not None:
                rollout.record = before.record
                rollout.fault_before = before.fault if before.open else ""
                if before.elapsed_s(now=now) < DRAIN_S:
                    rollout.abandon(before.abandoned)
                if before.fault and (before.open or now - before.rolled_back_at < DRAIN_S):
                    rollout.abandon((before.order.to,))
                elif before.open and not before.settled and before.order.to != order.to:
                    rollout.replaced = before.order.to
        structlog.get_logger().info(
            "rollout ordered",
            service=order.service,
            to=order.to,
            duration_s=order.duration_s,
            order=order.order_id,
        )

    def withdraw(self, service: str) -> None:
        """Apply the removal of an order."""
        rollout = self._rollouts.get(service)
        if rollout is not None and not rollout.withdrawn:
            rollout.withdrawn = True
            structlog.get_logger().info(
                "rollout order withdrawn", service=service, to=rollout.order.to
            )

    def withdraw_all_but(self, services: set[str]) -> None:
        """Apply a complete list of the services that have orders."""
        for service in self._rollouts.keys() - services:
            self.withdraw(service)

    def apply_record(self, service: str, record: RolloutRecord, *, now: float) -> None:
        """Apply the state in the store.

        :param now: Seconds.
        """
        rollout = self._rollouts.get(service)
        if rollout is None or rollout.record == record:
            return
        rollout.apply_record(record, now=now)
        structlog.get_logger().info("rollout state", service=service, **_loggable(record))

    @property
    def has_news(self) -> bool:
        """Whether there is a fault to tell that was in too few messages yet."""
        return any(rollout.fault_rounds > 0 for rollout in self._rollouts.values())

    def make_report(self, *, now: float) -> RolloutReport | None:
        """Return the next message to other routers; ``None`` if there is nothing to tell.

        :param now: Seconds.
        """
        due = [
            rollout
            for rollout in self._rollouts.values()
            if rollout.fault_rounds > 0
            or (rollout.open and now - rollout.reported_at >= REPORT_INTERVAL_S)
        ]
        if not due:
            return None
        rollout = min(due, key=lambda entry: (entry.fault_rounds == 0, entry.reported_at))
        rollout.reported_at = now
        rollout.fault_rounds = max(0, rollout.fault_rounds - 1)
        items = [RouteItem(route, *counts) for route, counts in rollout.own.items()]
        items.sort(key=lambda item: -item.new_bad)
        return RolloutReport(
            router=self._router,
            run_id=self._run_id,
            service=rollout.order.service,
            order_id=rollout.order.order_id,
            elapsed_s=rollout.elapsed_s(now=now),
            fault=rollout.fault[:MAX_FAULT_LENGTH],
            routes=items[:MAX_ROUTES],
        )

    def apply_report(self, report: RolloutReport, *, now: float) -> None:
        """Apply what another router told.

        :param now: Seconds.
        """
        rollout = self._rollouts.get(report.service)
        if rollout is None or rollout.order.order_id != report.order_id:
            return
        rollout.set_elapsed(report.elapsed_s, now=now)
        rollout.merge(report.router, report.run_id, report.routes)
        if report.fault:
            self.mark_bad(rollout, report.fault, source=report.router)

    def mark_bad(self, rollout: Rollout, fault: str, *, source: str) -> None:
        """Stop sending to the new version for the rest of the order.

        :param source: Router that found the fault.
        """
        if rollout.fault or rollout.settled:
            return
        rollout.fault, rollout.fault_rounds = fault, FAULT_ROUNDS
        structlog.get_logger().warning(
            "version bad",
            service=rollout.order.service,
            version=rollout.order.to,
            fault=fault[:MAX_FAULT_LENGTH],
            source=source,
        )


def _loggable(record: RolloutRecord) -> dict[str, object]:
    fields: dict[str, object] = record._asdict()
    return {**fields, "phase": record.phase.value, "elapsed_s": round(record.elapsed_s, 1)}
