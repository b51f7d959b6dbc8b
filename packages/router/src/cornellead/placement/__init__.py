"""Choice of the servers that a request is offered to."""

from __future__ import annotations

from cornellead.placement._placement_plan import Placement
from cornellead.placement._placement_plan import PlacementPlan

__all__ = ["Placement", "PlacementPlan"]
