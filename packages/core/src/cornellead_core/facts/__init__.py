"""Blackboard facts that exist in routers as well as in agents."""

from __future__ import annotations

from cornellead_core.facts._facts import CONFIG
from cornellead_core.facts._facts import DRAINING
from cornellead_core.facts._facts import HOSTS

__all__ = ["CONFIG", "DRAINING", "HOSTS"]
