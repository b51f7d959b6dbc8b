"""Settings and faults of the stand-in service."""

from __future__ import annotations

import msgspec


class ServiceSettings(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """Settings of the stand-in service, read from a YAML file."""

    listen: str
    name: str = "service"
    capacity: int = 16
    work_s: float = 0.02
    """Time from the start of a call to its effect."""
    seed: int = 1


class ServiceFaults(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """Injected faults, the body of ``PUT /faults``; a field that is left out is switched off."""

    error_before: float = 0.0
    """Fraction of calls that fail with status 500 before their effect."""
    error_after: float = 0.0
    """Fraction of calls that fail with status 500 after their effect."""
    cut_after: float = 0.0
    """Fraction of calls whose response is truncated after their effect."""
    slow_s: float = 0.0
    """Delay added before the effect."""
    stall_s: float = 0.0
    """Delay added between the effect and the response."""
    down: bool = False
    """Calls and load reports fail with status 503."""
