"""Settings of the router and agent processes, loaded from YAML files."""

from __future__ import annotations

from cornellead_core.settings._agent_settings import AgentSettings
from cornellead_core.settings._agent_settings import ServerSettings
from cornellead_core.settings._load import load_agent_settings
from cornellead_core.settings._load import load_router_settings
from cornellead_core.settings._process_settings import ProcessSettings
from cornellead_core.settings._router_settings import RouterSettings
from cornellead_core.settings._settings_error import SettingsError
from cornellead_core.settings._units import DURATION_HELP
from cornellead_core.settings._units import SIZE_HELP
from cornellead_core.settings._units import parse_duration
from cornellead_core.settings._units import parse_size
from cornellead_core.settings._yaml_tree import YamlNode
from cornellead_core.settings._yaml_tree import parse_yaml

__all__ = [
    "DURATION_HELP",
    "SIZE_HELP",
    "AgentSettings",
    "ProcessSettings",
    "RouterSettings",
    "ServerSettings",
    "SettingsError",
    "YamlNode",
    "load_agent_settings",
    "load_router_settings",
    "parse_duration",
    "parse_size",
    "parse_yaml",
]
