"""Settings and faults of the stand-in engine."""

from __future__ import annotations

import msgspec


class EngineSettings(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """Settings of the stand-in engine."""

    listen: str
    capacity: int = 16
    """Streams that run at full token rate."""
    slots: int = 32
    """Largest batch; further requests wait by priority."""
    token_interval_s: float = 0.01
    """Time between tokens of a stream in a batch up to the capacity."""
    prefill_tokens_per_s: float = 20_000.0
    block_tokens: int = 16
    cache_blocks: int = 4096
    default_tokens: int = 32
    """Length of an answer when the request sets no ``max_tokens``."""
    models: tuple[str, ...] = ("chat",)
    role: str = "both"
    load_lag_s: float = 0.2
    """Age of the load that ``GET /load`` reports."""
    cache_event_lag_s: float = 0.2
    cache_events_kept: int = 1000
    """Older cache events are dropped; readers see a gap."""
    cold_start: bool = True
    cold_capacity: int = 4
    """Requests that a cold engine bears; one more for each request served."""
    restart_s: float = 2.0
    orphan_s: float = 5.0
    """Time for which a stream without a reader keeps running."""
    streams_kept: int = 1000
    honours_fence: bool = True
    platform_url: str = ""
    """Where weights are fetched from; models load at once when empty."""
    seed: int = 1


class EngineFaults(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """Faults switched on by ``PUT /faults``; a field that is left out is switched off."""

    cold: bool = False
    """Become cold and lose the cache now, without a restart; not kept."""
    crash: bool = False
    """Crash and restart now; not kept."""
    errors: float = 0.0
    """Share of requests that fail with status 500."""
    duplicate: float = 0.0
    """Share of stream events that are sent twice."""
    reorder: float = 0.0
    """Share of stream events that are sent after their successor."""
    truncate: float = 0.0
    """Share of stream events after which the stream is cut inside an event."""
    stall_s: float = 0.0
    """No tokens for this time, once, starting now."""
    slow: float = 1.0
    """Factor on the time of each step."""
    cache_event_gap: float = 0.0
    """Share of cache events that are not published."""
    down: bool = False
    """All requests are answered with status 503."""
