"""Rate limit for requests from one router to servers that name the rate which they accept."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cornellead.gateway.policy._shared_rate_limiter import SharedRateLimiter

if TYPE_CHECKING:
    from collections.abc import Sequence

USED_SHARE = 0.9
"""Fraction of the named rate that the routers use: they may disagree for a moment about which
routers run."""
MIN_RATE_PER_S = 0.2
"""Rate at which a server that names a lower limit still gets requests: only their responses tell
when it has lifted its limit."""
MIN_SENDERS = 2
SENDERS_PER_RATE = 1.5
"""Senders for each request per second. With more, a larger share of the callers reaches a router
that may send to the server, but as many requests may arrive at the same moment."""


def usable_rate_per_s(limit_per_s: float) -> float:
    """Return the rate at which all routers together send to a server that names a limit.

    >>> usable_rate_per_s(10.0), usable_rate_per_s(0.0)
    (9.0, 0.2)
    """
    return max(MIN_RATE_PER_S, USED_SHARE * limit_per_s)


class ServerRateLimiter:
    """Keeps the requests of all routers to a server below the rate that it names.

    A server in need has to recover while callers go on, and each of many routers sees only its own
    requests.

    :param router: Name of this router.

    >>> limiter = ServerRateLimiter(router="r1")
    >>> limiter.try_send("s1", limit_per_s=2.0, routers=["r1"], now=0.0)
    True
    >>> limiter.try_send("s1", limit_per_s=2.0, routers=["r1"], now=0.5)
    False
    >>> limiter.try_send("s1", limit_per_s=2.0, routers=["r1"], now=0.6)
    True
    """

    def __init__(self, *, router: str) -> None:
        self._shared = SharedRateLimiter(router=router, max_senders=_max_senders)

    def next_send_at(
        self, server: str, *, limit_per_s: float, routers: Sequence[str], now: float
    ) -> float | None:
        """Return when this router may send its next request to the server.

        :param limit_per_s: Requests per second that the server accepts from all routers together.
        :param routers: Names of the running routers.
        :param now: Seconds.
        :returns: Time in seconds; ``None`` if only other routers may send to the server.
        """
        rate_per_s = usable_rate_per_s(limit_per_s)
        return self._shared.next_send_at(server, rate_per_s=rate_per_s, routers=routers, now=now)

    def try_send(
        self, server: str, *, limit_per_s: float, routers: Sequence[str], now: float
    ) -> bool:
        """Count one request against the limit; ``False`` if it may not be sent now."""
        rate_per_s = usable_rate_per_s(limit_per_s)
        return self._shared.try_send(server, rate_per_s=rate_per_s, routers=routers, now=now)

    def remove_server(self, server: str) -> None:
        """Remove the state of a server that has started again."""
        self._shared.remove_server(server)

    def remove_idle(self, *, now: float) -> None:
        """Remove the state of servers that got no request for a while."""
        self._shared.remove_idle(now=now)


def _max_senders(rate_per_s: float) -> int:
    return MIN_SENDERS + int(SENDERS_PER_RATE * rate_per_s)
