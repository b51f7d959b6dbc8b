"""Blackboard facts that routers and agents have in common."""

from __future__ import annotations

from cornellead_core.facts._facts import CONFIG
from cornellead_core.facts._facts import DRAINING
from cornellead_core.facts._facts import HOSTS

__all__ = ["CONFIG", "DRAINING", "HOSTS"]
