"""Assembly and life cycle of the agent process."""

from __future__ import annotations

from cornellead_agent.process._agent import Agent
from cornellead_agent.process._config_puller import ConfigPuller
from cornellead_agent.process._drainer import Drainer

__all__ = ["Agent", "ConfigPuller", "Drainer"]
