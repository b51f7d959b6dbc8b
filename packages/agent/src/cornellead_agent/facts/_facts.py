"""Facts on the blackboard of an agent."""

from __future__ import annotations

from typing import NamedTuple

from cornellead_core.blackboard import Fact


class ServerView(NamedTuple):
    """Last known state of the agent's server."""

    up: bool = False
    boot_id: str = ""
    restarts: int = 0
    running: int = 0
    waiting: int = 0
    capacity: int = 0
    """Concurrent requests according to the server's load report, 0 if unknown."""
    cached_blocks: int = 0
    models: tuple[str, ...] = ()
    adapters: tuple[str, ...] = ()
    version: str = ""
    role: str = ""


SERVER: Fact[ServerView] = Fact(name="server", default=ServerView())
"""State of the server according to its last load report."""

REQUIRED_CONFIG_OFFSET: Fact[int] = Fact(name="needed_config", default=-1)
"""Highest configuration offset in any request so far, up to which the agent must read."""

ANNOUNCED: Fact[bool] = Fact(name="announced", default=False)
"""Whether peers had time to receive this server's capacity, so that it may admit requests."""

MOVE_STREAMS: Fact[bool] = Fact(name="moving", default=False)
"""Whether the drain timeout has passed, so streams in progress must move to other servers."""
