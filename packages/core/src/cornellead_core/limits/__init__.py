"""Team limits, divided into shares that routers lease."""

from __future__ import annotations

from cornellead_core.limits._share_coordinator import DELEGATION_S
from cornellead_core.limits._share_coordinator import IDLE_DELEGATION_S
from cornellead_core.limits._share_coordinator import LEASE_S
from cornellead_core.limits._share_coordinator import ShareCoordinator
from cornellead_core.limits._share_coordinator import TeamLimit
from cornellead_core.limits._share_pool import SharePool
from cornellead_core.limits._share_pool import floor_share
from cornellead_core.limits._team_share import TeamShareState

__all__ = [
    "DELEGATION_S",
    "IDLE_DELEGATION_S",
    "LEASE_S",
    "ShareCoordinator",
    "SharePool",
    "TeamLimit",
    "TeamShareState",
    "floor_share",
]
