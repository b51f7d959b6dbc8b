"""Command line of routers and operators."""

from __future__ import annotations

from cornellead.cli._main import main

__all__ = ["main"]
