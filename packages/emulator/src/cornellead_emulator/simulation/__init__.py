"""Event queue with a simulated clock."""

from __future__ import annotations

from cornellead_emulator.simulation._event_queue import EventQueue

__all__ = ["EventQueue"]
