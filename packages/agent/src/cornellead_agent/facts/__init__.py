"""Blackboard facts that the controllers of an agent share."""

from __future__ import annotations

from cornellead_agent.facts._facts import ANNOUNCED
from cornellead_agent.facts._facts import MOVING
from cornellead_agent.facts._facts import NEEDED_CONFIG
from cornellead_agent.facts._facts import SERVER
from cornellead_agent.facts._facts import ServerView

__all__ = ["ANNOUNCED", "MOVING", "NEEDED_CONFIG", "SERVER", "ServerView"]
