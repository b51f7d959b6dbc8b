"""Records what responses tell about their servers."""

from __future__ import annotations

from typing import TYPE_CHECKING

import structlog

from cornellead.gateway.policy import MAX_PAUSE_S

if TYPE_CHECKING:
    from collections.abc import Callable

    from cornellead.gateway.stats import GatewayStats
    from cornellead.gateway.view import RateLimits
    from cornellead.gateway.view import ServerState
    from cornellead_core.routing import ServerReply


class ReplyRecorder:
    """Updates the state of servers by the headers of their responses, and logs the changes."""

    def __init__(
        self, *, rate_limits: RateLimits, stats: GatewayStats, clock: Callable[[], float]
    ) -> None:
        self._rate_limits = rate_limits
        self._stats = stats
        self._clock = clock

    def record(self, state: ServerState, reply: ServerReply, *, own: bool) -> None:
        """Record the metadata of a response.

        :param state: Server to which the request was sent.
        :param own: Whether the response comes from that server and belongs to the request.
        """
        now = self._clock()
        if reply.load is not None:
            state.record_reported_load(reply.load, now=now)
        if not own:
            return
        # Only a response of the server itself shows that it has lifted its limit.
        if reply.rate_limit_per_s is not None or reply.sealed:
            self._rate_limits.record_response(state, reply.rate_limit_per_s, now=now)
        if reply.leaving:
            self._record_leaving(state, now=now)
        if reply.pause_s is not None:
            self._record_pause(state, reply.pause_s, now=now)

    def _record_leaving(self, state: ServerState, *, now: float) -> None:
        if not state.record_leaving(now=now):
            return
        self._stats.count_view_change("server_leaving")
        structlog.get_logger().info(
            "server leaving",
            server=state.entry.server,
            source="response",
            draining=state.entry.draining,
            entry_age_s=round(now - state.entry_received_at, 2),
        )

    def _record_pause(self, state: ServerState, asked_s: float, *, now: float) -> None:
        pause_s = min(asked_s, MAX_PAUSE_S)
        if not state.record_pause(pause_s, now=now):
            return
        self._stats.count_view_change("server_pause")
        structlog.get_logger().info(
            "server paused",
            server=state.entry.server,
            source="response",
            pause_s=round(pause_s, 2),
            asked_s=asked_s,
        )
