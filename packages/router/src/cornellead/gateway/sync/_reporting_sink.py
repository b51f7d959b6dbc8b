"""Reports the unreadable records of a topic before its notices are applied."""

from __future__ import annotations

from typing import TYPE_CHECKING

import structlog

if TYPE_CHECKING:
    from cornellead.gateway.stats import GatewayStats
    from cornellead.gateway.sync._topic_reader import NoticeSink
    from cornellead_core.routing import NoticeBatch
    from cornellead_core.routing import Topic

MAX_LOGGED = 8
"""Maximum number of records of a batch that are logged one by one."""
MAX_REMEMBERED = 256
"""Maximum number of keys whose last reason is remembered."""


class ReportingSink:
    """Logs and counts unreadable records, and passes each batch on.

    A writer may repeat its record at every heartbeat, so a record is logged again only with another
    reason.
    """

    def __init__(self, *, topic: Topic, sink: NoticeSink, stats: GatewayStats) -> None:
        self._topic = topic
        self._sink = sink
        self._stats = stats
        self._logged: dict[str, str] = {}
        """Last reason by key."""

    def apply_snapshot(self, batch: NoticeBatch) -> None:
        """Replace the current state with the newest notice of each writer."""
        self._report(batch)
        self._sink.apply_snapshot(batch)

    def apply_changes(self, batch: NoticeBatch) -> None:
        """Apply later notices."""
        self._report(batch)
        self._sink.apply_changes(batch)

    def mark_unavailable(self) -> None:
        """Handle a failed read of the store."""
        self._sink.mark_unavailable()

    def _report(self, batch: NoticeBatch) -> None:
        if not batch.unreadable:
            return
        self._stats.count_unreadable_records(self._topic.value, len(batch.unreadable))
        log = structlog.get_logger()
        news = [r for r in batch.unreadable if self._logged.get(r.key) != r.reason]
        for record in news:
            self._logged[record.key] = record.reason
            if len(self._logged) > MAX_REMEMBERED:
                del self._logged[next(iter(self._logged))]
        for record in news[:MAX_LOGGED]:
            log.warning(
                "record unreadable",
                topic=self._topic.value,
                key=record.key,
                reason=record.reason,
            )
        if len(news) > MAX_LOGGED:
            log.warning(
                "more records unreadable", topic=self._topic.value, records=len(news) - MAX_LOGGED
            )
