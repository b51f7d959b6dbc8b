"""Facts on the blackboard of an agent."""

from __future__ import annotations

from typing import NamedTuple

from cornellead_core.blackboard import Fact


class ServerView(NamedTuple):
    """Last known state of the server beside the agent."""

    up: bool = False
    boot_id: str = ""
    restarts: int = 0
    running: int = 0
    waiting: int = 0
    capacity: int = 0
    """Capacity that the server states, 0 when unknown."""
    cached_blocks: int = 0
    models: tuple[str, ...] = ()
    adapters: tuple[str, ...] = ()
    version: str = ""
    role: str = ""


SERVER: Fact[ServerView] = Fact(name="server", default=ServerView())
"""Last sample of the server's own load report."""

NEEDED_CONFIG: Fact[int] = Fact(name="needed_config", default=-1)
"""Highest configuration offset seen in a request."""

ANNOUNCED: Fact[bool] = Fact(name="announced", default=False)
"""Whether peers had time to learn of this server's capacity."""

MOVING: Fact[bool] = Fact(name="moving", default=False)
"""Whether the drain limit passed and streams in progress must continue elsewhere."""
