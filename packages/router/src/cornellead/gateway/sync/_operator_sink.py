"""Puts what operators write into force."""

from __future__ import annotations

from typing import TYPE_CHECKING

import structlog

from cornellead_core.routing import DataCentreNotice
from cornellead_core.routing import RoutingConfig
from cornellead_core.routing import RoutingNotice
from cornellead_core.routing import Topic

if TYPE_CHECKING:
    from collections.abc import Callable

    from cornellead.gateway.beliefs import FleetView
    from cornellead.gateway.stats import GatewayStats
    from cornellead_core.routing import NoticeBatch


class OperatorSink:
    """Takes configurations and data centres out of service."""

    def __init__(self, *, view: FleetView, stats: GatewayStats, clock: Callable[[], float]) -> None:
        self._view = view
        self._stats = stats
        self._clock = clock

    def take_all(self, batch: NoticeBatch) -> None:
        """Take the newest notice of each writer, in place of all before."""
        out = {n.data_centre for n in batch.notices if isinstance(n, DataCentreNotice) and n.out}
        for data_centre in self._view.servers.data_centres_out - out:
            self._set_out(data_centre, out=False)
        self.take(batch)

    def take(self, batch: NoticeBatch) -> None:
        """Take later notices, or none when the store confirmed that there are none."""
        now = self._clock()
        self._view.confirmed_at = now - batch.age_s
        if batch.current:
            self._view.regain_store(Topic.OPERATOR)
        for notice in batch.notices:
            if isinstance(notice, RoutingNotice):
                self._take_config(notice)
            elif isinstance(notice, DataCentreNotice):
                self._set_out(notice.data_centre, out=notice.out)

    def lose(self) -> None:
        """Keep what is in force."""
        self._view.lose_store(Topic.OPERATOR, now=self._clock())

    def _take_config(self, notice: RoutingNotice) -> None:
        log = structlog.get_logger()
        if notice.data is None:
            log.error("configuration unreadable", problem=notice.problem)
            self._stats.count_belief("config_unreadable")
            return
        cfg = RoutingConfig(data=notice.data)
        before = self._view.config.version if self._view.config else None
        if self._view.take_config(cfg):
            self._stats.count_belief("config")
            log.info("configuration in force", config=cfg.version, before=before)

    def _set_out(self, data_centre: str, *, out: bool) -> None:
        if self._view.servers.set_out(data_centre, out=out, now=self._clock()):
            self._stats.count_belief("data_centre")
            structlog.get_logger().info("data centre changed", data_centre=data_centre, out=out)
