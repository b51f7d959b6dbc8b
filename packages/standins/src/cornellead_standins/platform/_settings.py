"""Settings and faults of the stand-in platform."""

from __future__ import annotations

import msgspec


class PlatformSettings(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """Settings of the stand-in platform."""

    listen: str
    appends_per_s: float = 300.0
    retention_s: float = 86_400.0
    retention_records: int = 200_000
    """Records kept per stream."""
    host_lag_s: float = 0.5
    """Age of the host list that readers see."""
    weight_fetches_per_s: float = 5.0
    weight_bytes: int = 65_536
    seed: int = 1


class PlatformFaults(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """Faults switched on by ``PUT /faults``; a field that is left out is switched off."""

    log_outage: bool = False
    """Reads and appends answer 503; nothing is stored."""
    slow_s: float = 0.0
    """Added to each answer of the log and the host list."""
    lost_answers: float = 0.0
    """Share of appends that are stored but whose answer is withheld."""
    late_append_s: float = 0.0
    """An append whose answer is withheld is stored after this time."""
    host_lag_s: float | None = None
    """Overrides the lag of the host list."""
    hosts_outage: bool = False
    weights_outage: bool = False
