"""Agent that runs beside each server and admits all work to it."""

from __future__ import annotations

__version__ = "0.1.0"
