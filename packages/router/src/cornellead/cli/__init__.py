"""Command line that runs routers and gateways and changes the configuration of the fleet."""

from __future__ import annotations

from cornellead.cli._main import main

__all__ = ["main"]
