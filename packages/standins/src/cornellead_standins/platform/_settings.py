"""Settings and faults of the stand-in platform."""

from __future__ import annotations

import msgspec


class PlatformSettings(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """Settings of the stand-in platform, read from a YAML file."""

    listen: str
    appends_per_s: float = 300.0
    retention_s: float = 86_400.0
    retention_records: int = 200_000
    """Maximum number of records kept per stream."""
    host_lag_s: float = 0.5
    """Time after which readers see a change of the host list."""
    weight_fetches_per_s: float = 5.0
    weight_bytes: int = 65_536
    seed: int = 1


class PlatformFaults(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """Injected faults, the body of ``PUT /faults``; a field that is left out is switched off."""

    log_outage: bool = False
    """Reads and appends fail with status 503; nothing is stored."""
    slow_s: float = 0.0
    """Latency added to each request to the log and the host list."""
    lost_answers: float = 0.0
    """Fraction of appends that are stored but whose response comes after the client's timeout."""
    late_append_s: float = 0.0
    """Delay before an append with a lost response is stored."""
    host_lag_s: float | None = None
    """Replaces the setting ``host_lag_s``."""
    hosts_outage: bool = False
    """Reads of the host list fail with status 503."""
    weights_outage: bool = False
    """Weight fetches fail with status 503."""
