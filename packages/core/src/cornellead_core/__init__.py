"""Decisions and control protocol shared by routers and agents."""

from __future__ import annotations

__version__ = "0.1.0"
