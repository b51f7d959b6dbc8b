"""Figures of emulated model servers."""

from __future__ import annotations

import msgspec


class ModelServerSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A model server; the defaults are those of the users' model servers."""

    slots: int = 64
    """Requests in the batch."""
    queue: int = 192
    """Requests that may wait for a place in the batch."""
    memory_tokens: int = 528_867
    """Tokens of running requests and cached parts together."""
    step_ms: float = 3.88
    """Time of a step with an empty batch."""
    step_ms_per_request: float = 0.0276
    """Further time of a step for each request in the batch."""
    prefill_tokens_per_ms: float = 66.2
    chunk_tokens: int = 4096
    """Prompt tokens that are read in one step at most."""
    fetch_tokens_per_ms: float = 137.0
    """Rate at which cached parts are copied from another server."""
    fetch_setup_ms: float = 4.0
    """Time until a copy begins."""
    tokens_per_event: int = 6
    """Tokens that the server puts into one event of a stream."""
    cold_s: float = 3.0
    """Time for which a new server is cold."""
    cold_rate_per_s: float = 11.0
    """Requests a second that a cold server bears."""
