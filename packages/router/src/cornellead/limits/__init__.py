"""Rate and concurrency limits of teams, shared among routers by leases."""

from __future__ import annotations

from cornellead.limits._share_controller import ShareController
from cornellead.limits._team_limiter import TeamLimiter

__all__ = ["ShareController", "TeamLimiter"]
