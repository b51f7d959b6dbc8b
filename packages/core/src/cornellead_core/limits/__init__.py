"""Team rate limits, divided among the routers as leased shares."""

from __future__ import annotations

from cornellead_core.limits._share_book import CONTRIBUTION_S
from cornellead_core.limits._share_book import IDLE_CONTRIBUTION_S
from cornellead_core.limits._share_book import LEASE_S
from cornellead_core.limits._share_book import ShareBook
from cornellead_core.limits._share_book import TeamLimit
from cornellead_core.limits._share_pool import SharePool
from cornellead_core.limits._share_pool import floor_share
from cornellead_core.limits._team_share import TeamShareState

__all__ = [
    "CONTRIBUTION_S",
    "IDLE_CONTRIBUTION_S",
    "LEASE_S",
    "ShareBook",
    "SharePool",
    "TeamLimit",
    "TeamShareState",
    "floor_share",
]
