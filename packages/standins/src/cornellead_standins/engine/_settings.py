"""Settings and faults of the stand-in engine."""

from __future__ import annotations

import msgspec


class EngineSettings(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """Settings of the stand-in engine, read from a YAML file."""

    listen: str
    capacity: int = 16
    """Largest batch in which requests run at the full token rate."""
    slots: int = 32
    """Maximum size of the batch; further requests wait in order of priority."""
    token_interval_s: float = 0.01
    """Time between tokens of a request while the batch is within the capacity."""
    prefill_tokens_per_s: float = 20_000.0
    block_tokens: int = 16
    cache_blocks: int = 4096
    default_tokens: int = 32
    """Number of generated tokens for a request without ``max_tokens``."""
    models: tuple[str, ...] = ("chat",)
    role: str = "both"
    load_lag_s: float = 0.2
    """Age of the load that ``GET /load`` reports."""
    cache_event_lag_s: float = 0.2
    """Time after which readers see a cache event."""
    cache_events_kept: int = 1000
    """Number of cache events kept; readers see a gap where older ones were dropped."""
    cold_start: bool = True
    cold_capacity: int = 4
    """Concurrent requests that an engine can handle when cold; one more for each one it served."""
    restart_s: float = 2.0
    """Time after a crash during which the engine responds with status 503."""
    orphan_s: float = 5.0
    """Time after which an unfinished stream without a reader is cancelled."""
    streams_kept: int = 1000
    """Maximum number of streams kept for resuming; beyond it the oldest is cancelled."""
    honours_fence: bool = True
    """Whether commands with a stale fencing token are rejected."""
    platform_url: str = ""
    """Base URL from which weights are fetched; if empty, models load immediately."""
    seed: int = 1


class EngineFaults(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """Injected faults, the body of ``PUT /faults``; a field that is left out is switched off."""

    cold: bool = False
    """Become cold and lose the cache now, without a restart; happens once."""
    crash: bool = False
    """Crash and restart now; happens once."""
    errors: float = 0.0
    """Fraction of requests that fail with status 500."""
    duplicate: float = 0.0
    """Fraction of stream events that are sent twice."""
    reorder: float = 0.0
    """Fraction of stream events that are sent after their successor."""
    truncate: float = 0.0
    """Fraction of stream events that are cut in the middle, which ends the response.

    A response that is not streamed is cut in the middle with this probability.
    """
    stall_s: float = 0.0
    """Generate no tokens for this time from now on; happens once."""
    slow: float = 1.0
    """Factor on the duration of each step."""
    cache_event_gap: float = 0.0
    """Fraction of cache events that are not published."""
    down: bool = False
    """Requests fail with status 503, as during a restart."""
