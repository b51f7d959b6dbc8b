"""Blackboard facts that the controllers of an agent share."""

from __future__ import annotations

from cornellead_agent.facts._facts import ANNOUNCED
from cornellead_agent.facts._facts import MOVE_STREAMS
from cornellead_agent.facts._facts import REQUIRED_CONFIG_OFFSET
from cornellead_agent.facts._facts import SERVER
from cornellead_agent.facts._facts import ServerView

__all__ = ["ANNOUNCED", "MOVE_STREAMS", "REQUIRED_CONFIG_OFFSET", "SERVER", "ServerView"]
