"""Command line interface of the agent."""

from __future__ import annotations

from cornellead_agent.cli._main import main

__all__ = ["main"]
