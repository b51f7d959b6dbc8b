"""Shared library of routers and agents: placement, configuration, limits and control protocol."""

from __future__ import annotations

__version__ = "0.1.0"
