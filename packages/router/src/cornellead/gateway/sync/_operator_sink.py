"""Applies operators' changes to the router's view of the fleet."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

import structlog

from cornellead.gateway.view import MAX_BEHIND_S
from cornellead.gateway.view import SETTLE_S
from cornellead_core.routing import STORE_SOURCE
from cornellead_core.routing import DataCentreNotice
from cornellead_core.routing import RolloutOrderNotice
from cornellead_core.routing import RoutingConfig
from cornellead_core.routing import RoutingNotice
from cornellead_core.routing import Topic

if TYPE_CHECKING:
    from collections.abc import Callable

    from cornellead.gateway.stats import GatewayStats
    from cornellead.gateway.view import FleetView
    from cornellead_core.routing import NoticeBatch


MS_PER_S = 1000


class OperatorSink:
    """Applies routing configurations and the set of data centres out of service."""

    def __init__(self, *, view: FleetView, stats: GatewayStats, clock: Callable[[], float]) -> None:
        self._view = view
        self._stats = stats
        self._clock = clock
        self._listed_out: set[str] = set()
        """Data centres that are out of service according to the store."""
        self._behind = False
        """Whether the newest configuration that was read is older than the active one, as in a
        store that came back from a copy."""
        self._behind_at = float("-inf")
        """Time of the last read before which the store was behind."""

    def apply_snapshot(self, batch: NoticeBatch) -> None:
        """Replace the current state with the newest notice of each writer."""
        self._note_behind()
        self._listed_out.clear()
        self._apply_not_stored(batch)
        has_config = any(isinstance(n, RoutingNotice) for n in batch.notices)
        self._behind = self._view.config is not None and not has_config
        self.apply_changes(batch._replace(not_stored=()))
        if not self._may_lack_removals():
            self._view.rollouts.withdraw_all_but(
                {n.service for n in batch.notices if isinstance(n, RolloutOrderNotice)}
            )

    def apply_changes(self, batch: NoticeBatch) -> None:
        """Apply later notices; an empty batch confirms that nothing changed."""
        self._report_read(batch)
        self._note_behind()
        self._apply_not_stored(batch)
        if batch.is_current:
            self._view.mark_store_available(Topic.OPERATOR)
        for notice in batch.notices:
            if isinstance(notice, RoutingNotice):
                self._apply_config(notice)
            elif isinstance(notice, DataCentreNotice):
                (self._listed_out.add if notice.out else self._listed_out.discard)(
                    notice.data_centre
                )
                self._set_out_of_service(notice.data_centre, out=notice.out)
            elif isinstance(notice, RolloutOrderNotice):
                self._apply_order(notice)
        if not self._may_lack_removals():
            for data_centre in self._view.servers.data_centres_out_of_service - self._listed_out:
                self._set_out_of_service(data_centre, out=False)
        if batch.records_left == 0 and not self._behind:
            self._view.confirmed_at = self._clock() - batch.age_s

    def mark_unavailable(self) -> None:
        """Record the outage and keep the active configuration."""
        self._view.mark_store_unavailable(Topic.OPERATOR, now=self._clock())

    def _note_behind(self) -> None:
        if self._behind:
            self._behind_at = self._clock()

    def _may_lack_removals(self) -> bool:
        """Return whether the store may have lost, when it was restored, that a data centre is out
        of service.

        While it lacks the configuration in force, the operator has not written again what was lost,
        and a configuration that comes back may be the first of several changes.
        """
        now = self._clock()
        behind = self._behind or now - self._behind_at < SETTLE_S
        within_s = MAX_BEHIND_S if behind else SETTLE_S
        return self._view.history.settling(Topic.OPERATOR, now=now, within_s=within_s)

    def _apply_not_stored(self, batch: NoticeBatch) -> None:
        """Apply what other routers have in force, which the store may have lost."""
        for notice in batch.not_stored:
            if isinstance(notice, RoutingNotice):
                before = self._view.config
                self._apply_config(notice)
                if self._view.config is not before:
                    self._behind = True
                    # What the store confirmed until now may have been the copy.
                    self._view.confirmed_at = None
            elif isinstance(notice, DataCentreNotice) and self._may_lack_removals():
                self._set_out_of_service(notice.data_centre, out=True)

    def _apply_order(self, notice: RolloutOrderNotice) -> None:
        if notice.order is None:
            self._view.rollouts.withdraw(notice.service)
        else:
            self._view.rollouts.apply_order(notice.order, now=self._clock())

    def _report_read(self, batch: NoticeBatch) -> None:
        read = batch.read
        if read is None or not batch.notices:
            return
        source = "store" if read.source == STORE_SOURCE else "router"
        self._stats.count_operator_read(source, read.body_bytes)
        routing = [n.data for n in batch.notices if isinstance(n, RoutingNotice)]
        structlog.get_logger().info(
            "operator changes read",
            source=read.source,
            configs=[data.version for data in routing if data is not None],
            notices=len(batch.notices),
            next_offset=batch.next_offset,
            era=batch.era,
            records_left=batch.records_left,
            age_s=round(batch.age_s, 2),
            body_bytes=read.body_bytes,
            wait_ms=round(read.wait_s * MS_PER_S),
            transfer_ms=round(read.transfer_s * MS_PER_S),
            decode_ms=round(read.decode_s * MS_PER_S),
        )

    def _apply_config(self, notice: RoutingNotice) -> None:
        log = structlog.get_logger()
        if notice.data is None:
            log.error("configuration unreadable", problem=notice.problem)
            self._stats.count_view_change("config_unreadable")
            return
        started_at = time.perf_counter()
        cfg = RoutingConfig(data=notice.data)
        previous = self._view.config.version if self._view.config else None
        self._behind = previous is not None and cfg.version < previous
        if self._view.activate_config(cfg):
            self._stats.count_view_change("config")
            log.info(
                "configuration in force",
                config=cfg.version,
                before=previous,
                routes=len(cfg.data.routes),
                activate_ms=round((time.perf_counter() - started_at) * MS_PER_S),
            )

    def _set_out_of_service(self, data_centre: str, *, out: bool) -> None:
        if self._view.servers.set_out_of_service(data_centre, out=out, now=self._clock()):
            self._stats.count_view_change("data_centre")
            structlog.get_logger().info("data centre changed", data_centre=data_centre, out=out)
