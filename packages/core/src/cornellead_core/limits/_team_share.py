"""Admission on one router within its share of a team's limits."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from cornellead_core.limits._share_pool import floor_share

if TYPE_CHECKING:
    from cornellead_core.limits._share_coordinator import TeamLimit
    from cornellead_core.wire import TeamShare

DEMAND_WINDOW_S = 4.0
"""Time constant of the exponentially decayed count of arrivals."""
BURST_S = 1.0
"""Capacity of the token bucket, in seconds at the leased rate."""


class TeamShareState:
    """Admits requests of one team within its leased share, or a small fixed share without a lease.

    The rate is enforced with a token bucket.

    :param floor_available_at: Monotonic time from which the share without a lease may be used.
        Before that, other routers may hold leases on the whole limit that were granted before this
        router was listed.
    """

    def __init__(self, *, now: float, floor_available_at: float) -> None:
        self._floor_available_at = floor_available_at
        self._lease: TeamShare | None = None
        self._lease_until = 0.0
        # The first refill reduces this to the capacity of the bucket.
        self._tokens = math.inf
        self._refilled_at = now
        self._arrivals = 0.0
        self._peak_concurrent = 0
        self._decayed_at = now
        self.in_progress = 0

    def apply_lease(self, share: TeamShare, *, requested_at: float) -> None:
        """Replace the current lease.

        :param requested_at: Monotonic time at which the lease request was sent. The lease runs from
            then, so it expires here before it expires at the coordinator.
        """
        self._lease = share
        self._lease_until = requested_at + share.lease_s

    def try_admit(self, *, limit: TeamLimit, routers: int, now: float) -> float | None:
        """Admit a request if the share allows it.

        :param routers: Number of routers in this router's host list.
        :param now: Monotonic seconds.
        :returns: ``None`` if admitted, else the seconds after which to retry.
        """
        self._record_arrival(now)
        rate, max_concurrent = self.share(limit=limit, routers=routers, now=now)
        if rate > 0:
            self._refill(rate, now)
        # Rejected requests count as demand, because a larger share would admit them.
        self._peak_concurrent = max(self._peak_concurrent, self.in_progress + 1)
        # A share below one admits one request; otherwise no router could use a small limit.
        if self.in_progress + 1 > (
            max_concurrent if max_concurrent >= 1 or max_concurrent <= 0 else 1.0
        ):
            return 1.0
        if self._tokens < 1.0:
            return min(60.0, (1.0 - self._tokens) / rate) if rate > 0 else 1.0
        self._tokens -= 1.0
        self.in_progress += 1
        return None

    def finish(self) -> None:
        """Release the slot of an admitted request."""
        self.in_progress -= 1

    def share(self, *, limit: TeamLimit, routers: int, now: float) -> tuple[float, float]:
        """Return the current share as requests per second and concurrent requests."""
        if self._lease is not None and now < self._lease_until:
            return (
                min(self._lease.requests_per_s, limit.requests_per_s),
                min(self._lease.concurrent, limit.concurrent),
            )
        if now < self._floor_available_at:
            return 0.0, 0.0
        return (
            floor_share(limit.requests_per_s, routers),
            floor_share(limit.concurrent, routers),
        )

    def can_admit(self, *, now: float) -> bool:
        """Return whether this router may admit requests, with or without a lease."""
        return now >= self._floor_available_at or now < self._lease_until

    def held(self, *, now: float) -> tuple[float, float]:
        """Return the leased requests per second and concurrent requests, zero without a lease."""
        if self._lease is None or now >= self._lease_until:
            return 0.0, 0.0
        return self._lease.requests_per_s, self._lease.concurrent

    def demand(self, *, now: float) -> tuple[float, int]:
        """Return arrivals per second and peak concurrent demand, and reset the peak."""
        self._decay_arrivals(now)
        rate = self._arrivals / DEMAND_WINDOW_S
        peak = max(self._peak_concurrent, self.in_progress)
        self._peak_concurrent = self.in_progress
        return (rate if rate > 0.01 else 0.0), peak

    def _record_arrival(self, now: float) -> None:
        self._decay_arrivals(now)
        self._arrivals += 1.0

    def _decay_arrivals(self, now: float) -> None:
        self._arrivals *= math.exp(-max(0.0, now - self._decayed_at) / DEMAND_WINDOW_S)
        self._decayed_at = now

    def _refill(self, rate: float, now: float) -> None:
        burst = max(1.0, rate * BURST_S)
        self._tokens = min(burst, self._tokens + max(0.0, now - self._refilled_at) * rate)
        self._refilled_at = now
