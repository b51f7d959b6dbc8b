"""Health of a server, derived from its recent responses."""

from __future__ import annotations

OUTCOME_HALF_LIFE_S = 2.0
"""Half-life of the weight of an outcome."""
PRIOR_SUCCESSES = 2.0
"""Successes credited to every server, so that a single failure has little effect on its rate."""
SILENCE_TIMEOUT_S = 1.0
"""Time without a byte on any in-flight request after which a server counts as unresponsive: model
servers emit events every few tens of milliseconds, and other services respond faster than this."""
CONNECT_BACKOFF_S = 0.5
"""Backoff after a failed connection attempt: about the duration of two attempts."""
LATENCY_SAMPLE_WEIGHT = 0.2
"""Weight of the latest sample in the moving average of the latency."""
DURATION_SAMPLE_WEIGHT = 0.05
"""Weight of the latest sample in the moving average of stream durations, which vary widely."""


class ServerHealth:
    """Success rate, latency and responsiveness of one server as observed by this router.

    >>> health = ServerHealth(now=0.0)
    >>> health.success_rate(now=0.0)
    1.0
    >>> for _ in range(6):
    ...     health.record_outcome(ok=False, now=0.0)
    >>> health.success_rate(now=0.0)
    0.25
    """

    def __init__(self, *, now: float) -> None:
        self._successes = 0.0
        self._failures = 0.0
        self._decayed_at = now
        self._last_byte_at = now
        self._sent_at: dict[int, float] = {}
        self._urgencies: dict[int, int] = {}
        self._backoff_until = 0.0
        self.latency_s = 0.0
        """Moving average of the time to first byte; 0 before the first response."""
        self.stream_duration_s = 0.0
        """Moving average of the time from the first byte of a stream to its end; 0 before the
        first."""

    @property
    def in_flight(self) -> int:
        """Number of this router's in-flight requests at the server."""
        return len(self._sent_at)

    def start_request(self, request: int, *, now: float, urgency: int = 0) -> None:
        """Add a request to the in-flight requests.

        :param urgency: 0 is the most urgent.
        """
        self._sent_at[request] = now
        self._urgencies[request] = urgency

    def finish_request(self, request: int) -> None:
        """Remove a request from the in-flight requests."""
        self._sent_at.pop(request, None)
        self._urgencies.pop(request, None)

    def share_ahead(self, urgency: int) -> float:
        """Return the fraction of the in-flight requests that precede a new one of this urgency.

        :returns: From 0 to 1; 1 if no request is in flight.
        """
        if not self._urgencies:
            return 1.0
        ahead = sum(1 for other in self._urgencies.values() if other <= urgency)
        return ahead / len(self._urgencies)

    def record_data_received(self, *, now: float) -> None:
        """Record that the server sent data."""
        self._last_byte_at = now

    def received_data_since(self, at: float) -> bool:
        """Return whether the server sent data after a moment, in seconds."""
        return self._last_byte_at > at

    def record_latency(self, seconds: float) -> None:
        """Add a time to first byte to the moving average."""
        if self.latency_s <= 0:
            self.latency_s = seconds
        self.latency_s += LATENCY_SAMPLE_WEIGHT * (seconds - self.latency_s)

    def record_stream_duration(self, seconds: float) -> None:
        """Add the duration for which a stream occupied a slot to the moving average."""
        if self.stream_duration_s <= 0:
            self.stream_duration_s = seconds
        self.stream_duration_s += DURATION_SAMPLE_WEIGHT * (seconds - self.stream_duration_s)

    def record_outcome(self, *, ok: bool, now: float) -> None:
        """Record whether a request succeeded at the server."""
        self._decay(now)
        if ok:
            self._successes += 1.0
        else:
            self._failures += 1.0

    def record_connect_failure(self, *, now: float) -> None:
        """Record a failed connection attempt and start the backoff."""
        self.record_outcome(ok=False, now=now)
        self._backoff_until = now + CONNECT_BACKOFF_S

    def success_rate(self, *, now: float) -> float:
        """Return the weighted fraction of recent requests that succeeded, above 0 and at most 1."""
        self._decay(now)
        return (self._successes + PRIOR_SUCCESSES) / (
            self._successes + self._failures + PRIOR_SUCCESSES
        )

    def responsive(self, *, now: float) -> bool:
        """Return whether the server accepts connections and sends data on in-flight requests."""
        if now < self._backoff_until:
            return False
        if not self._sent_at:
            return True
        silent_since = max(self._last_byte_at, min(self._sent_at.values()))
        return now - silent_since < SILENCE_TIMEOUT_S

    def _decay(self, now: float) -> None:
        factor = 0.5 ** (max(0.0, now - self._decayed_at) / OUTCOME_HALF_LIFE_S)
        self._successes *= factor
        self._failures *= factor
        self._decayed_at = now
