"""Settings of the emulated model servers."""

from __future__ import annotations

import msgspec


class ModelServerSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Capacity and speed of a model server; the defaults describe the users' model servers."""

    slots: int = 64
    """Maximum requests in the batch."""
    queue: int = 192
    """Maximum requests that wait for a slot in the batch."""
    memory_tokens: int = 528_867
    """Maximum tokens of running requests and cached parts together."""
    step_ms: float = 3.88
    """Duration of a step with an empty batch."""
    step_ms_per_request: float = 0.0276
    """Additional duration of a step per request in the batch."""
    prefill_tokens_per_ms: float = 66.2
    """Rate at which prompt tokens that are not cached are prefilled."""
    chunk_tokens: int = 4096
    """Maximum prompt tokens prefilled in one step."""
    fetch_tokens_per_ms: float = 137.0
    """Rate at which cached parts are copied from another server."""
    fetch_setup_ms: float = 4.0
    """Delay before a copy starts."""
    tokens_per_event: int = 6
    """Tokens in one event of the response stream."""
    work_jitter: float = 0.0
    """Largest deviation of the work factor from its mean, as a fraction of the mean."""
    cold_s: float = 3.0
    """Time for which a server is cold after its start."""
    cold_rate_per_s: float = 11.0
    """Requests per second that a cold server can handle."""

    def slowed(self, factor: float) -> ModelServerSettings:
        """Return the settings of a server whose steps take longer by a factor."""
        if factor == 1.0:
            return self
        return msgspec.structs.replace(
            self,
            step_ms=self.step_ms * factor,
            step_ms_per_request=self.step_ms_per_request * factor,
            prefill_tokens_per_ms=self.prefill_tokens_per_ms / factor,
        )
