"""Rate limit of one server that all routers share without exchanging messages."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple

from cornellead_core.placement import rank_members

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Sequence


IDLE_S = 60.0
"""Time without a request after which a server is forgotten, unless its rate allows fewer."""


class _Interval(NamedTuple):
    routers: list[str]
    rate_per_s: float
    max_senders: int
    interval_s: float | None


class SharedRateLimiter:
    """Divides the rate that a server accepts among a few routers.

    The first few routers in rendezvous order for the server send to it, each at an equal fraction
    of the rate and one request at a time. So at most as many requests as there are senders come
    together, in addition to the rate.

    :param router: Name of this router.
    :param max_senders: Returns the maximum number of senders for a rate in requests per second.
    """

    def __init__(self, *, router: str, max_senders: Callable[[float], int]) -> None:
        self._router = router
        self._max_senders = max_senders
        self._sent_at: dict[str, float] = {}
        self._intervals: dict[str, _Interval] = {}
        """Result of the last ranking of the routers, by server."""

    def next_send_at(
        self, server: str, *, rate_per_s: float, routers: Sequence[str], now: float
    ) -> float | None:
        """Return when this router may send its next request to the server.

        :param rate_per_s: Requests per second that the server tolerates from all routers together.
        :param routers: Names of the running routers.
        :param now: Seconds.
        :returns: Time in seconds; ``None`` if only other routers may send to the server.
        """
        interval_s = self._interval_s(server, rate_per_s, routers)
        if interval_s is None:
            return None
        sent_at = self._sent_at.get(server)
        return now if sent_at is None else max(now, sent_at + interval_s)

    def try_send(
        self, server: str, *, rate_per_s: float, routers: Sequence[str], now: float
    ) -> bool:
        """Count one request against the rate limit; ``False`` if it may not be sent now."""
        if self.next_send_at(server, rate_per_s=rate_per_s, routers=routers, now=now) != now:
            return False
        self._sent_at[server] = now
        return True

    def remove_server(self, server: str) -> None:
        """Remove the state of a server that has started again."""
        self._sent_at.pop(server, None)
        self._intervals.pop(server, None)

    def remove_idle(self, *, now: float) -> None:
        """Remove the state of servers that got no request for a while.

        The state of a server whose entry is removed is kept until then: it may run on, and its
        entry may come back.
        """
        for server in {*self._sent_at, *self._intervals}:
            interval = self._intervals.get(server)
            interval_s = 0.0 if interval is None else interval.interval_s or 0.0
            if now - self._sent_at.get(server, float("-inf")) > max(IDLE_S, interval_s):
                self.remove_server(server)

    def _interval_s(self, server: str, rate_per_s: float, routers: Sequence[str]) -> float | None:
        if rate_per_s <= 0:
            return None
        max_senders = max(1, self._max_senders(rate_per_s))
        known = self._intervals.get(server)
        if known is not None and (known.routers, known.rate_per_s, known.max_senders) == (
            routers,
            rate_per_s,
            max_senders,
        ):
            return known.interval_s
        candidates = sorted({*routers, self._router})
        senders = rank_members(server, candidates)[:max_senders]
        interval_s = len(senders) / rate_per_s if self._router in senders else None
        self._intervals[server] = _Interval(list(routers), rate_per_s, max_senders, interval_s)
        return interval_s
