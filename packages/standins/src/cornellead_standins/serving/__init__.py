"""Command line and HTTP server shared by the stand-ins."""

from __future__ import annotations

from cornellead_standins.serving._run_app import read_settings
from cornellead_standins.serving._run_app import run_app

__all__ = ["read_settings", "run_app"]
