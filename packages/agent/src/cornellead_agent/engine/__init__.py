"""Controllers that watch and command the server beside the agent."""

from __future__ import annotations

from cornellead_agent.engine._server_monitor import ServerMonitor

__all__ = ["ServerMonitor"]
