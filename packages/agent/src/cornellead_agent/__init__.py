"""Agent that runs beside each server; all requests to the server pass its admission control."""

from __future__ import annotations

__version__ = "0.1.0"
