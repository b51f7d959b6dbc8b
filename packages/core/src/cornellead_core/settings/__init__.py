"""Settings of a process."""

from __future__ import annotations

from cornellead_core.settings._agent_settings import AgentSettings
from cornellead_core.settings._agent_settings import ServerSettings
from cornellead_core.settings._process_settings import ProcessSettings
from cornellead_core.settings._router_settings import RouterSettings

__all__ = ["AgentSettings", "ProcessSettings", "RouterSettings", "ServerSettings"]
