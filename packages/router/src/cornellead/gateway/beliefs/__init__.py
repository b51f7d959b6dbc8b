"""A router's in-memory view of servers, configuration and other routers. It does no I/O."""

from __future__ import annotations

from cornellead.gateway.beliefs._fleet_load import FleetLoad
from cornellead.gateway.beliefs._fleet_load import RouterLoad
from cornellead.gateway.beliefs._fleet_view import FleetView
from cornellead.gateway.beliefs._prompt_directory import PromptDirectory
from cornellead.gateway.beliefs._server_health import ServerHealth
from cornellead.gateway.beliefs._server_registry import ServerRegistry
from cornellead.gateway.beliefs._server_state import ServerState

__all__ = [
    "FleetLoad",
    "FleetView",
    "PromptDirectory",
    "RouterLoad",
    "ServerHealth",
    "ServerRegistry",
    "ServerState",
]
