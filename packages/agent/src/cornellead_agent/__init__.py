"""Agent beside each server: admission control, request relay and load exchange."""

from __future__ import annotations

__version__ = "0.1.0"
