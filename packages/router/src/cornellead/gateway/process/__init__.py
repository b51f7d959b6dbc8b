"""The gateway process."""

from __future__ import annotations

from cornellead.gateway.process._admin_handler import AdminHandler
from cornellead.gateway.process._gateway_process import GatewayProcess
from cornellead.gateway.process._planned_stop import PlannedStop

__all__ = ["AdminHandler", "GatewayProcess", "PlannedStop"]
