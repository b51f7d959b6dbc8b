"""Selection of the servers to which a request is sent."""

from __future__ import annotations

from cornellead.placement._placement_plan import Placement
from cornellead.placement._placement_plan import PlacementPlan

__all__ = ["Placement", "PlacementPlan"]
