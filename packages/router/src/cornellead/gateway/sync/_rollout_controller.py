"""Moves the rollouts on: finds bad versions, and writes the state to the store in turn."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import structlog
from returns.result import Failure

from cornellead.gateway.policy import RolloutFacts
from cornellead.gateway.policy import VersionCounts
from cornellead.gateway.policy import VersionJudge
from cornellead.gateway.policy import next_record
from cornellead_core.placement import rank_members
from cornellead_core.routing import RolloutNotice
from cornellead_core.routing import RolloutPhase
from cornellead_core.routing import Topic

if TYPE_CHECKING:
    from collections.abc import Callable

    from cornellead.gateway.stats import GatewayStats
    from cornellead.gateway.view import FleetView
    from cornellead.gateway.view import Rollout
    from cornellead_core.routing import FleetStore
    from cornellead_core.routing import NoticeBatch
    from cornellead_core.routing import RolloutRecord
    from cornellead_core.routing import RolloutStore

CHECK_INTERVAL_S = 0.2
"""Time between checks of the counts: a small part of the time to react to a bad version."""
RANK_DELAY_S = 1.5
"""Time for which each further router in rank leaves a decision to those before it, which may have
been lost: longer than the time between reads."""
RETRY_S = 1.0
"""Time until a write that failed is tried again."""


class RolloutController:
    """Judges the versions that are being rolled out, and decides on the next steps.

    One router decides at a time: the first one in rendezvous order for the service, and each
    further one if nothing happened for longer. A decision is written on condition that nobody wrote
    before, so a router that decides on an old state is refused. Without an order, no call is made.

    :param reader: Client that reads the state, for most routers from another router.
    :param store: Client of the store for decisions.
    :param exposure_share: Returns the bound on the share of a version that has not proved itself.
    :param read_interval_s: Returns the minimum time between reads of the state.
    """

    name = "decide-rollouts"

    def __init__(
        self,
        *,
        reader: FleetStore,
        store: RolloutStore,
        view: FleetView,
        stats: GatewayStats,
        clock: Callable[[], float],
        exposure_share: Callable[[], float],
        read_interval_s: Callable[[], float],
    ) -> None:
        self._reader = reader
        self._store = store
        self._view = view
        self._stats = stats
        self._clock = clock
        self._exposure_share = exposure_share
        self._read_interval_s = read_interval_s
        self._judges: dict[str, tuple[Rollout, VersionJudge]] = {}
        self._due_since: dict[str, float] = {}
        """Time since when the state in the store differs from what it should be, by service."""
        self._retry_at: dict[str, float] = {}
        self._read_at = float("-inf")
        self._unavailable = False
        self._ignored: set[str] = set()

    async def run(self) -> None:
        """Judge and decide until cancelled."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            await self.advance()

    async def advance(self) -> None:
        """Judge all open rollouts, and write each state whose turn it is for this router."""
        rollouts = [rollout for rollout in self._view.rollouts.open if self._is_known(rollout)]
        if not rollouts:
            return
        for rollout in rollouts:
            self._judge(rollout)
        if self._clock() - self._read_at >= self._read_interval_s():
            await self._read()
        for rollout in rollouts:
            await self._decide(rollout)
            self._show(rollout)

    def _show(self, rollout: Rollout) -> None:
        record, order = rollout.current, rollout.order
        phase = "ordered" if record is None else record.phase.value
        if rollout.fault and record is not None and not record.phase.ended:
            phase = "bad"
        self._stats.set_rollout(order.service, order.to, phase, rollout.share)

    def _is_known(self, rollout: Rollout) -> bool:
        """Return whether the service is configured; an order for another one is ignored."""
        service, cfg = rollout.order.service, self._view.config
        known = cfg is not None and service in cfg.services
        if known:
            self._ignored.discard(service)
        elif cfg is not None and service not in self._ignored:
            self._ignored.add(service)
            structlog.get_logger().warning(
                "rollout order ignored", service=service, reason="service not configured"
            )
        return known

    def _judge(self, rollout: Rollout) -> None:
        service = rollout.order.service
        known = self._judges.get(service)
        if known is None or known[0] is not rollout:
            known = self._judges[service] = (rollout, VersionJudge())
        if rollout.fault or rollout.settled:
            return
        counts = {route: VersionCounts(*item) for route, item in rollout.merged().items()}
        fault = known[1].find_fault(counts, now=self._clock())
        if fault:
            self._stats.count_view_change("version_bad")
            self._view.rollouts.mark_bad(rollout, fault, source=self._view.router)

    async def _read(self) -> None:
        self._read_at = self._clock()
        result = await self._reader.read_newest(Topic.ROLLOUTS)
        if isinstance(result, Failure):
            if not self._unavailable:
                structlog.get_logger().warning("rollouts not read", error=result.failure().message)
            self._unavailable = True
            return
        self._unavailable = False
        self._apply(result.unwrap())

    def _apply(self, batch: NoticeBatch) -> None:
        for notice in batch.notices:
            if isinstance(notice, RolloutNotice):
                self._view.rollouts.apply_record(notice.service, notice.record, now=self._clock())

    async def _decide(self, rollout: Rollout) -> None:
        service, now = rollout.order.service, self._clock()
        if self._next_record(rollout) is None and not _is_unannounced(rollout):
            self._due_since.pop(service, None)
            return
        due_since = self._due_since.setdefault(service, now)
        rank = rank_members(f"rollout/{service}", self._view.routers(now=now)).index(
            self._view.router
        )
        if now - due_since < RANK_DELAY_S * rank or now < self._retry_at.get(service, now):
            return
        self._retry_at[service] = now + RETRY_S
        if await self._write(rollout):
            self._due_since.pop(service, None)
            self._retry_at.pop(service, None)

    async def _write(self, rollout: Rollout) -> bool:
        """Decide on the newest state in the store, and write what follows."""
        newest = await self._store.read_newest(Topic.ROLLOUTS)
        if isinstance(newest, Failure):
            return self._report_failure(rollout, newest.failure().message)
        batch = newest.unwrap()
        self._apply(batch)
        if self._view.rollouts.get(rollout.order.service) is not rollout:
            # Another order came meanwhile, and the state that was read belongs to that one.
            return True
        record = self._next_record(rollout)
        if record is None:
            if not _is_unannounced(rollout) or rollout.record is None:
                return True
            told = await self._store.publish_rollout_status(rollout.order.service, rollout.record)
            if isinstance(told, Failure):
                return self._report_failure(rollout, told.failure().message)
            record = rollout.record._replace(announced=True)
        return await self._append(rollout, record, at=batch.next_offset)

    async def _append(self, rollout: Rollout, record: RolloutRecord, *, at: int) -> bool:
        service = rollout.order.service
        result = await self._store.append_rollout(service, record, at=at)
        if isinstance(result, Failure):
            return self._report_failure(rollout, result.failure().message)
        if not result.unwrap():
            return self._report_failure(rollout, "another router decided")
        self._stats.count_view_change(f"rollout_{record.phase.value}")
        structlog.get_logger().info(
            "rollout state written",
            service=service,
            to=record.to,
            phase=record.phase.value,
            share=round(record.share, 4),
            elapsed_s=round(record.elapsed_s, 1),
            announced=record.announced,
            reason=record.reason,
        )
        self._view.rollouts.apply_record(service, record, now=self._clock())
        return True

    def _report_failure(self, rollout: Rollout, error: str) -> bool:
        structlog.get_logger().info(
            "rollout state not written", service=rollout.order.service, error=error
        )
        return False

    def _next_record(self, rollout: Rollout) -> RolloutRecord | None:
        order = rollout.order
        usable = self._view.servers.usable(order.service)
        listed = self._view.servers.listed(order.service)
        merged = rollout.merged().values()
        return next_record(
            RolloutFacts(
                order=None if rollout.withdrawn else order,
                record=rollout.record,
                elapsed_s=rollout.elapsed_s(now=self._clock()),
                fault=rollout.fault,
                fault_before=rollout.fault_before,
                new_responses=sum(counts[0] for counts in merged),
                old_responses=sum(counts[2] for counts in merged),
                new_servers=sum(state.entry.version == order.to for state in usable),
                old_servers=sum(
                    state.entry.version not in (order.to, *rollout.abandoned) for state in listed
                ),
                exposure_share=self._exposure_share(),
            )
        )


def _is_unannounced(rollout: Rollout) -> bool:
    record = rollout.record
    return record is not None and not record.announced and record.phase is not RolloutPhase.MOVING
