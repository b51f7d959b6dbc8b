"""Controllers that monitor the server beside the agent and reconcile it with its configuration."""

from __future__ import annotations

from cornellead_agent.engine._cache_watcher import CacheEvent
from cornellead_agent.engine._cache_watcher import CachePage
from cornellead_agent.engine._cache_watcher import CacheWatcher
from cornellead_agent.engine._cache_watcher import apply_events
from cornellead_agent.engine._command_plan import Command
from cornellead_agent.engine._command_plan import plan_commands
from cornellead_agent.engine._engine_reconciler import EngineReconciler
from cornellead_agent.engine._fencing_token import TAKEOVER_DELAY_S
from cornellead_agent.engine._fencing_token import FencingToken
from cornellead_agent.engine._server_monitor import ServerMonitor

__all__ = [
    "TAKEOVER_DELAY_S",
    "CacheEvent",
    "CachePage",
    "CacheWatcher",
    "Command",
    "EngineReconciler",
    "FencingToken",
    "ServerMonitor",
    "apply_events",
    "plan_commands",
]
