"""A router's view of the servers: candidates, load and availability."""

from __future__ import annotations

from cornellead.fleet._candidates import engines_for
from cornellead.fleet._candidates import servers_for
from cornellead.fleet._engine_directory import EngineDirectory
from cornellead.fleet._engine_directory import Engines
from cornellead.fleet._server_view import ServerView

__all__ = ["EngineDirectory", "Engines", "ServerView", "engines_for", "servers_for"]
