"""Contains the failure of one notice."""

from __future__ import annotations

from typing import TYPE_CHECKING

import structlog

if TYPE_CHECKING:
    from cornellead.gateway.stats import GatewayStats
    from cornellead.gateway.sync._topic_reader import NoticeSink
    from cornellead_core.routing import Notice
    from cornellead_core.routing import NoticeBatch
    from cornellead_core.routing import Topic

MAX_LOGGED = 8
"""Maximum number of notices of a batch that are logged one by one."""
MAX_ERROR_LENGTH = 200


class ContainedSink:
    """Passes batches on, and all other notices if one cannot be applied.

    Without it a restarted reader would read the same notice again and never pass it. Servers that
    ended and quarantines that were learned count once, also in a batch that is applied twice; a
    data centre that is out of service may be logged as back and out again.
    """

    def __init__(self, *, topic: Topic, sink: NoticeSink, stats: GatewayStats) -> None:
        self._topic = topic
        self._sink = sink
        self._stats = stats

    def apply_snapshot(self, batch: NoticeBatch) -> None:
        """Replace the current state with the newest notice of each writer."""
        try:
            self._sink.apply_snapshot(batch)
        except Exception:
            self._log_failure(batch)
            sound = self._apply_one_by_one(batch)
            self._apply_sound(batch._replace(notices=sound, not_stored=()))

    def apply_changes(self, batch: NoticeBatch) -> None:
        """Apply later notices."""
        try:
            self._sink.apply_changes(batch)
        except Exception:
            self._log_failure(batch)
            self._apply_one_by_one(batch)

    def mark_unavailable(self) -> None:
        """Handle a failed read of the store."""
        self._sink.mark_unavailable()

    def _apply_one_by_one(self, batch: NoticeBatch) -> list[Notice]:
        """Apply each notice by itself, and return those that could be applied."""
        sound: list[Notice] = []
        logged = 0
        single: list[tuple[Notice, NoticeBatch]] = [
            (notice, batch._replace(notices=[], not_stored=(notice,)))
            for notice in batch.not_stored
        ]
        for notice in batch.notices:
            single.append((notice, batch._replace(notices=[notice], not_stored=())))
        for notice, part in single:
            try:
                self._sink.apply_changes(part)
            except Exception as exc:
                self._stats.count_unreadable_records(self._topic.value, 1)
                logged += 1
                if logged <= MAX_LOGGED:
                    structlog.get_logger().error(
                        "notice not applied",
                        topic=self._topic.value,
                        kind=type(notice).__name__,
                        key=notice[0] if isinstance(notice[0], str) else "",
                        error=repr(exc)[:MAX_ERROR_LENGTH],
                    )
            else:
                sound += part.notices
        return sound

    def _apply_sound(self, batch: NoticeBatch) -> None:
        """Replace the state with notices that were applied one by one.

        If that fails, too, their effect stays, and so does what the snapshot no longer lists: a
        reader that failed here would read the same snapshot again, and so on.
        """
        try:
            self._sink.apply_snapshot(batch)
        except Exception:
            self._stats.count_view_change("snapshot_not_applied")
            structlog.get_logger().exception(
                "snapshot not applied", topic=self._topic.value, notices=len(batch.notices)
            )

    def _log_failure(self, batch: NoticeBatch) -> None:
        structlog.get_logger().exception(
            "notices not applied", topic=self._topic.value, notices=len(batch.notices)
        )
