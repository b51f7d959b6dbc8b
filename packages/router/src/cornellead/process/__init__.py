"""Assembly, start and shutdown of a router process."""

from __future__ import annotations

from cornellead.process._drain import Drain
from cornellead.process._router_process import RouterProcess
from cornellead.process._traffic_parts import TrafficParts

__all__ = ["Drain", "RouterProcess", "TrafficParts"]
