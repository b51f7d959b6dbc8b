"""In-process store of typed facts, with change notification for controllers."""

from __future__ import annotations

from cornellead_core.blackboard._blackboard import Blackboard
from cornellead_core.blackboard._controller import Controller
from cornellead_core.blackboard._controller import run_controllers
from cornellead_core.blackboard._fact import Fact
from cornellead_core.blackboard._supervision import supervise_controllers

__all__ = ["Blackboard", "Controller", "Fact", "run_controllers", "supervise_controllers"]
