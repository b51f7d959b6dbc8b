"""Settings and faults of the stand-in service."""

from __future__ import annotations

import msgspec


class ServiceSettings(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """Settings of the stand-in service."""

    listen: str
    name: str = "service"
    capacity: int = 16
    work_s: float = 0.02
    """Time from the start of a call to its effect."""
    seed: int = 1


class ServiceFaults(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """Faults switched on by ``PUT /faults``; a field that is left out is switched off."""

    error_before: float = 0.0
    """Share of calls that fail without an effect."""
    error_after: float = 0.0
    """Share of calls that fail after their effect."""
    cut_after: float = 0.0
    """Share of calls whose answer is cut short after their effect."""
    slow_s: float = 0.0
    """Added before the effect."""
    stall_s: float = 0.0
    """Added between the effect and the answer."""
    down: bool = False
