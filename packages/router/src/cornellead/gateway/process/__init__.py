"""The gateway process."""

from __future__ import annotations

from cornellead.gateway.process._gateway_process import GatewayProcess
from cornellead.gateway.process._planned_stop import PlannedStop

__all__ = ["GatewayProcess", "PlannedStop"]
