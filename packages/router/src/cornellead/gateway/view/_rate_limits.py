"""Rate limits of servers, as named in their responses and told by other routers."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple

import structlog

from cornellead.gateway.gossip import OWN_ROUNDS
from cornellead.gateway.gossip import RELAY_ROUNDS
from cornellead.gateway.gossip import Age
from cornellead.gateway.gossip import Rate
from cornellead.gateway.gossip import RouterName
from cornellead.gateway.gossip import SendQueue
from cornellead.gateway.view._server_rate_limit import ServerRateLimit

if TYPE_CHECKING:
    from cornellead.gateway.view._server_registry import ServerRegistry
    from cornellead.gateway.view._server_state import ServerState

REPEAT_INTERVAL_S = 1.0
"""Interval at which some limits are told again, to routers that started or were cut off."""
MAX_REPEATED = 4


class RateLimitItem(NamedTuple):
    """`ServerRateLimit` of one server, with an age in place of a time."""

    server: int
    """Hash of the server name."""
    per_s: Rate | None
    age_s: Age


class RateLimitReport(NamedTuple):
    """Message between routers. Ages are used, since the clocks of routers differ."""

    router: RouterName
    limits: list[RateLimitItem]


class RateLimits:
    """Records the limits of servers, logs their changes, and tells them to other routers.

    A router that gets few responses of a server would otherwise learn its limit late.

    :param router: Name of this router.
    """

    def __init__(self, *, router: str, servers: ServerRegistry) -> None:
        self._router = router
        self._servers = servers
        self._queue = SendQueue[int]()
        self._repeated_at = 0.0
        self._repeat_position = 0

    @property
    def has_news(self) -> bool:
        """Whether there is something to tell that was in no message yet."""
        return self._queue.has_new

    def record_response(self, state: ServerState, per_s: float | None, *, now: float) -> None:
        """Record what a response told about the rate limit of its server.

        :param per_s: Requests per second from all routers together; ``None`` for no limit.
        :param now: Seconds.
        """
        if self._record(state, ServerRateLimit(per_s, now, self._router), now=now):
            self._queue.put(state.name_hash, rounds=OWN_ROUNDS)

    def apply_report(self, report: RateLimitReport, *, now: float) -> None:
        """Apply what another router told."""
        for item in report.limits:
            state = self._servers.by_hash(item.server)
            if state is None or (item.per_s is not None and not item.per_s >= 0):
                continue
            limit = ServerRateLimit(item.per_s, now - max(0.0, item.age_s), report.router)
            if self._record(state, limit, now=now):
                self._queue.put(item.server, rounds=RELAY_ROUNDS)

    def make_report(self, *, now: float) -> RateLimitReport | None:
        """Return the next message to other routers; ``None`` if there is nothing to tell."""
        self._repeat_limits(now)
        items = [
            RateLimitItem(server, limit.per_s, max(0.0, now - limit.at))
            for server in self._queue.take()
            if (state := self._servers.by_hash(server)) and (limit := state.rate_limit)
        ]
        return RateLimitReport(self._router, items) if items else None

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

    def _repeat_limits(self, now: float) -> None:
        if now - self._repeated_at < REPEAT_INTERVAL_S:
            return
        self._repeated_at = now
        limited = self._servers.rate_limited()
        for offset in range(min(MAX_REPEATED, len(limited))):
            state = limited[(self._repeat_position + offset) % len(limited)]
            self._queue.put(state.name_hash, rounds=1)
        self._repeat_position += MAX_REPEATED
