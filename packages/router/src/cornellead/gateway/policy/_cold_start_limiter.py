"""Rate limit for requests from one router to cold servers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cornellead_core.placement import rank_members

if TYPE_CHECKING:
    from collections.abc import Sequence

MAX_SENDERS = 4
"""Maximum number of routers that send to one cold server, provided that it tolerates a burst of as
many requests. With more senders, each one's fraction of the rate would be smaller."""


class ColdStartLimiter:
    """Limits the rate of requests from this router to cold servers.

    Servers may join or return under high load, while each of many routers sees only its own
    requests. The routers divide the rate of a server without exchanging messages: the first few
    routers in rendezvous order for the server send to it, each at an equal fraction of the rate.

    :param router: Name of this router.
    :param burst: Requests that a cold server tolerates within one second above its rate:
        each sender may send one request at the same moment.

    >>> limiter = ColdStartLimiter(router="r1", burst=5.0)
    >>> limiter.try_send("s1", rate_per_s=2.0, routers=["r1"], now=0.0)
    True
    >>> limiter.try_send("s1", rate_per_s=2.0, routers=["r1"], now=0.4)
    False
    >>> limiter.try_send("s1", rate_per_s=2.0, routers=["r1"], now=0.5)
    True
    """

    def __init__(self, *, router: str, burst: float) -> None:
        self._router = router
        self.burst = burst
        self._next_send_at: dict[str, float] = {}

    def next_send_at(
        self, server: str, *, rate_per_s: float, routers: Sequence[str], now: float
    ) -> float | None:
        """Return when this router may send its next request to the server.

        :param rate_per_s: Requests per second that the server tolerates from all routers together.
        :param routers: Names of the running routers.
        :param now: Seconds.
        :returns: Time in seconds; ``None`` if only other routers may send to the server.
        """
        if rate_per_s <= 0 or self._interval_s(server, rate_per_s, routers) is None:
            return None
        return max(now, self._next_send_at.get(server, now))

    def try_send(
        self, server: str, *, rate_per_s: float, routers: Sequence[str], now: float
    ) -> bool:
        """Count one request against the rate limit; ``False`` if it may not be sent now."""
        interval_s = self._interval_s(server, rate_per_s, routers)
        if interval_s is None or now < self._next_send_at.get(server, now):
            return False
        self._next_send_at[server] = now + interval_s
        return True

    def remove_server(self, server: str) -> None:
        """Remove the state of a server that ended."""
        self._next_send_at.pop(server, None)

    def _interval_s(self, server: str, rate_per_s: float, routers: Sequence[str]) -> float | None:
        candidates = sorted({*routers, self._router})
        max_senders = max(1, min(MAX_SENDERS, int(self.burst)))
        senders = rank_members(server, candidates)[:max_senders]
        if self._router not in senders or rate_per_s <= 0:
            return None
        return len(senders) / rate_per_s
