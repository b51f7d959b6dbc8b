"""Rate limit for requests from one router to cold servers."""

from __future__ import annotations

from cornellead.gateway.policy._shared_rate_limiter import SharedRateLimiter

MAX_SENDERS = 4
"""Maximum number of routers that send to one cold server, provided that it tolerates a burst of as
many requests. With more senders, each one's fraction of the rate would be smaller."""


class ColdStartLimiter(SharedRateLimiter):
    """Limits the rate of requests from this router to cold servers.

    Servers may join or return under high load, while each of many routers sees only its own
    requests.

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
        super().__init__(router=router, max_senders=lambda _: min(MAX_SENDERS, int(self.burst)))
        self.burst = burst
