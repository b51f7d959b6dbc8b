"""A router's share of one team's limits, and what it admits."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from cornellead_core.limits._share_pool import floor_share

if TYPE_CHECKING:
    from cornellead_core.limits._share_book import TeamLimit
    from cornellead_core.wire import TeamShare

DEMAND_WINDOW_S = 4.0
"""Time constant of the demand average."""
BURST_S = 1.0
"""Unused rate that may be saved up."""


class TeamShareState:
    """Admits requests of one team within the leased share, or a small share without a lease.

    :param floor_from: Time before which nothing may be used without a lease: other routers may
        still hold leases on the whole limit, granted before they knew of this router.
    """

    def __init__(self, *, now: float, floor_from: float) -> None:
        self._floor_from = floor_from
        self._lease: TeamShare | None = None
        self._lease_until = 0.0
        # Cut to one burst at the first request.
        self._tokens = math.inf
        self._filled_at = now
        self._arrivals = 0.0
        self._peak = 0
        self._counted_at = now
        self.in_progress = 0

    def take_lease(self, share: TeamShare, *, asked_at: float) -> None:
        """Use a new lease.

        :param asked_at: Time at which the request for it was sent; the lease is counted from then,
            so it ends here before it ends at the coordinator.
        """
        self._lease = share
        self._lease_until = asked_at + share.lease_s

    def try_admit(self, *, limit: TeamLimit, routers: int, now: float) -> float | None:
        """Admit a request if the share allows it.

        :param routers: Number of routers in this router's view.
        :param now: Monotonic seconds.
        :returns: ``None`` if admitted, else the seconds after which to try again.
        """
        self._count(now)
        rate, slots = self.share(limit=limit, routers=routers, now=now)
        self._fill(rate, now)
        # A refused request is demand too: it is what a larger share would admit.
        self._peak = max(self._peak, self.in_progress + 1)
        # A share below one still admits one request, or small limits would admit none anywhere.
        if self.in_progress + 1 > (slots if slots >= 1 or slots <= 0 else 1.0):
            return 1.0
        if self._tokens < 1.0:
            return min(60.0, (1.0 - self._tokens) / rate) if rate > 0 else 1.0
        self._tokens -= 1.0
        self.in_progress += 1
        return None

    def finish(self) -> None:
        """Count an admitted request as ended."""
        self.in_progress -= 1

    def share(self, *, limit: TeamLimit, routers: int, now: float) -> tuple[float, float]:
        """Return the present share: requests a second and concurrent requests."""
        if self._lease is not None and now < self._lease_until:
            return (
                min(self._lease.requests_per_s, limit.requests_per_s),
                min(self._lease.concurrent, limit.concurrent),
            )
        if now < self._floor_from:
            return 0.0, 0.0
        return (
            floor_share(limit.requests_per_s, routers),
            floor_share(limit.concurrent, routers),
        )

    def usable(self, *, now: float) -> bool:
        """Return whether this router may use any share."""
        return now >= self._floor_from or now < self._lease_until

    def held(self, *, now: float) -> tuple[float, float]:
        """Return the leased share in use, zero without a lease."""
        if self._lease is None or now >= self._lease_until:
            return 0.0, 0.0
        return self._lease.requests_per_s, self._lease.concurrent

    def demand(self, *, now: float) -> tuple[float, int]:
        """Return arrivals a second and the concurrent requests wanted, and start a new count."""
        self._decay(now)
        rate = self._arrivals / DEMAND_WINDOW_S
        peak = max(self._peak, self.in_progress)
        self._peak = self.in_progress
        return (rate if rate > 0.01 else 0.0), peak

    def _count(self, now: float) -> None:
        self._decay(now)
        self._arrivals += 1.0

    def _decay(self, now: float) -> None:
        self._arrivals *= math.exp(-max(0.0, now - self._counted_at) / DEMAND_WINDOW_S)
        self._counted_at = now

    def _fill(self, rate: float, now: float) -> None:
        burst = max(1.0, rate * BURST_S)
        self._tokens = min(burst, self._tokens + max(0.0, now - self._filled_at) * rate)
        self._filled_at = now
