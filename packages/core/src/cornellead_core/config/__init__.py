"""Configuration of the fleet: objects, reducer and resolved view."""

from __future__ import annotations

from cornellead_core.config._fleet_config import EMPTY_CONFIG
from cornellead_core.config._fleet_config import FleetConfig
from cornellead_core.config._fleet_config import Priority
from cornellead_core.config._fleet_config import ServerConfig
from cornellead_core.config._fleet_config import ServicePolicy
from cornellead_core.config._fleet_config import TeamPolicy

__all__ = [
    "EMPTY_CONFIG",
    "FleetConfig",
    "Priority",
    "ServerConfig",
    "ServicePolicy",
    "TeamPolicy",
]
