"""Applies server entries to the registry of servers."""

from __future__ import annotations

from typing import TYPE_CHECKING

import structlog

from cornellead_core.routing import ServerNotice
from cornellead_core.routing import Topic

if TYPE_CHECKING:
    from collections.abc import Callable

    from cornellead.gateway.stats import GatewayStats
    from cornellead.gateway.view import FleetView
    from cornellead.gateway.view import ServerState
    from cornellead_core.routing import NoticeBatch
    from cornellead_core.routing import ServerEntry


class ServerSink:
    """Applies entries of servers and logs the changes.

    :param on_ended: Called with each server that is removed from the registry.
    """

    def __init__(
        self,
        *,
        view: FleetView,
        stats: GatewayStats,
        clock: Callable[[], float],
        on_ended: Callable[[ServerState], None],
    ) -> None:
        self._view = view
        self._stats = stats
        self._clock = clock
        self._on_ended = on_ended
        self._restored_at: float | None = None

    def apply_snapshot(self, batch: NoticeBatch) -> None:
        """Replace the registry with the newest entry of each server."""
        now = self._clock()
        self._record_recovery(batch, now=now)
        servers = [n for n in batch.notices if isinstance(n, ServerNotice)]
        entries = [n.entry for n in servers if n.entry is not None]
        for entry in entries:
            self._log_change(entry)
        left = {count.server for count in batch.counts if count.left}
        for state in self._view.servers.replace_all(entries, now=now, left=left):
            self._report_ended(state, "not_listed")
        self._view.servers.record_counts(batch.counts, now=now)
        self._view.servers_loaded = True

    def apply_changes(self, batch: NoticeBatch) -> None:
        """Apply later notices; an empty batch confirms that nothing changed."""
        now = self._clock()
        self._record_recovery(batch, now=now)
        counts = {count.server: count for count in batch.counts}
        for notice in batch.notices:
            if not isinstance(notice, ServerNotice):
                continue
            if notice.entry is None:
                count = counts.get(notice.server)
                left = count is not None and count.left
                state = self._view.servers.remove(notice.server, now=now, left=left)
                if count is not None:
                    # A late write may follow in the same batch.
                    self._view.servers.record_counts([count], now=now)
                if state is not None:
                    self._report_ended(state, "removed" if notice.removed else "unreadable_entry")
                else:
                    self._report_deferred(notice.server, now=now)
                continue
            self._log_change(notice.entry)
            for state in self._view.servers.put(notice.entry, now=now):
                restarted = state.entry.server == notice.server
                self._report_ended(state, "restarted" if restarted else "address_taken")
        self._view.servers.record_counts(batch.counts, now=now)
        for state in self._view.servers.remove_expired(now=now):
            self._report_ended(state, "lapsed_while_store_was_away")
        # These follow a snapshot, which may have been applied notice by notice.
        self._view.servers_loaded = True

    def mark_unavailable(self) -> None:
        """Record the outage, so that removals are deferred until some time after it ends."""
        self._view.servers.mark_store_unavailable()
        self._view.mark_store_unavailable(Topic.SERVERS, now=self._clock())

    def _record_recovery(self, batch: NoticeBatch, *, now: float) -> None:
        restored_at = self._view.history.restored_at(Topic.SERVERS)
        if restored_at is not None and restored_at != self._restored_at:
            self._restored_at = restored_at
            self._view.servers.mark_store_restored(now=restored_at)
        if batch.is_current:
            self._view.servers.mark_store_available(now=now)
            self._view.mark_store_available(Topic.SERVERS)

    def _log_change(self, entry: ServerEntry) -> None:
        state = self._view.servers.get(entry.server)
        if self._view.servers.is_outdated(entry, now=self._clock()):
            self._report_late(entry, state)
            return
        if state is not None and (state.entry.draining, state.entry.started_ms) == (
            entry.draining,
            entry.started_ms,
        ):
            return
        self._stats.count_view_change("server")
        structlog.get_logger().info(
            "server changed",
            server=entry.server,
            service=entry.service,
            address=entry.address,
            data_centre=entry.data_centre,
            draining=entry.draining,
            cold_s=entry.cold_s,
        )

    def _report_late(self, entry: ServerEntry, state: ServerState | None) -> None:
        self._stats.count_view_change("late_entry")
        structlog.get_logger().info(
            "late entry dropped",
            server=entry.server,
            sequence=entry.sequence,
            started_ms=entry.started_ms,
            draining=entry.draining,
            listed_sequence=None if state is None else state.entry.sequence,
        )

    def _report_deferred(self, server: str, *, now: float) -> None:
        state = self._view.servers.get(server)
        if state is None or state.missing_since != now:
            return
        self._stats.count_view_change("server_missing")
        structlog.get_logger().info(
            "removal deferred",
            server=server,
            entry_age_s=round(now - state.entry_received_at, 2),
            data_centre=state.entry.data_centre,
        )

    def _report_ended(self, state: ServerState, cause: str) -> None:
        self._stats.count_view_change("server_ended")
        structlog.get_logger().info(
            "server ended",
            server=state.entry.server,
            cause=cause,
            entry_age_s=round(self._clock() - state.entry_received_at, 2),
        )
        self._on_ended(state)
