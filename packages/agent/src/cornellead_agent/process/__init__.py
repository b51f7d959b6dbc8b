"""The agent process."""

from __future__ import annotations

from cornellead_agent.process._agent import Agent

__all__ = ["Agent"]
