"""Rate limits of servers, as named in their responses."""

from __future__ import annotations

from typing import TYPE_CHECKING

import structlog

from cornellead.gateway.view._server_rate_limit import ServerRateLimit

if TYPE_CHECKING:
    from cornellead.gateway.view._server_state import ServerState


class RateLimits:
    """Records the limits of servers and logs their changes.

    :param router: Name of this router.
    """

    def __init__(self, *, router: str) -> None:
        self._router = router

    def record_response(self, state: ServerState, per_s: float | None, *, now: float) -> None:
        """Record what a response told about the rate limit of its server.

        :param per_s: Requests per second from all routers together; ``None`` for no limit.
        :param now: Seconds.
        """
        self._record(state, ServerRateLimit(per_s, now, self._router), now=now)

    def _record(self, state: ServerState, limit: ServerRateLimit, *, now: float) -> bool:
        before = state.rate_limit
        if not state.record_rate_limit(limit):
            return False
        structlog.get_logger().info(
            "server rate limit changed",
            server=state.entry.server,
            per_s=limit.per_s,
            before_per_s=None if before is None else before.per_s,
            source=limit.source,
            age_s=round(now - limit.at, 2),
        )
        return True
