"""Adaptive concurrency limit for a server whose caches may be cold."""

from __future__ import annotations

from typing import NamedTuple

MIN_BASELINE_WEIGHT = 0.05
"""Weight of the newest sample in the moving mean of the time to first token, once the mean has
enough samples; earlier samples weigh equally."""
MIN_BASELINE_SAMPLES = 8
"""Samples that the moving mean needs before requests are compared with it."""
SLOW_FACTOR = 3.0
"""Multiple of the moving mean from which a time to first token is a sign of cold caches."""


class ServerSample(NamedTuple):
    """Fields of the server's load report that reveal a restart or an emptied cache."""

    boot_id: str
    restarts: int
    running: int
    cached_blocks: int


class ColdLimit:
    """Concurrency limit that doubles with successes and falls back when the server turns cold.

    The limit starts at ``start``, doubles after as many consecutive successes as its value and
    stops at ``capacity``. Errors, restarts, a shrunken cache and slow first tokens reset it.

    :param start: Concurrent requests that a cold server can handle.
    :param capacity: Concurrent requests that a warm server can handle.
    :param ceiling_s: Longest time to first token that counts as a success, in seconds.

    >>> limit = ColdLimit(start=2, capacity=16, ceiling_s=0.6)
    >>> limit.record_success(first_token_s=0.1)
    >>> limit.record_success(first_token_s=0.1)
    >>> limit.value
    4
    >>> limit.record_error()
    >>> limit.value
    2
    """

    def __init__(self, *, start: int, capacity: int, ceiling_s: float) -> None:
        self._start = max(1, min(start, capacity))
        self._capacity = capacity
        self._ceiling_s = ceiling_s
        self._consecutive_successes = 0
        self._baseline_s = 0.0
        self._samples = 0
        self._last_sample: ServerSample | None = None
        self.value = self._start
        self.drops = 0

    def record_success(self, *, first_token_s: float | None) -> None:
        """Record a request that the server completed.

        :param first_token_s: Time to first token in seconds, or ``None`` for a response that was
            not streamed: its duration depends on its length and says nothing about the caches.
        """
        if first_token_s is None:
            self._count_success()
            return
        slow = first_token_s > max(SLOW_FACTOR * self._baseline_s, self._ceiling_s)
        if self._samples >= MIN_BASELINE_SAMPLES and slow:
            self._drop()
            return
        weight = max(MIN_BASELINE_WEIGHT, 1 / (self._samples + 1))
        self._baseline_s += weight * (first_token_s - self._baseline_s)
        self._samples += 1
        if first_token_s > self._ceiling_s:
            self._consecutive_successes = 0
            return
        self._count_success()

    def _count_success(self) -> None:
        self._consecutive_successes += 1
        if self._consecutive_successes >= self.value and self.value < self._capacity:
            self.value = min(self._capacity, 2 * self.value)
            self._consecutive_successes = 0

    def record_error(self) -> None:
        """Reset the limit after a request that failed at the server."""
        self._drop()

    def observe(self, sample: ServerSample) -> bool:
        """Compare a load report with the previous one and reset the limit if the server is cold.

        :returns: Whether the server restarted or lost more than half of its cached blocks.
        """
        last, self._last_sample = self._last_sample, sample
        if last is None:
            # A server that is already busy when the agent starts can handle at least this load.
            self.value = min(self._capacity, max(self.value, sample.running))
            return False
        restarted = (sample.boot_id, sample.restarts) != (last.boot_id, last.restarts)
        if not restarted and 2 * sample.cached_blocks >= last.cached_blocks:
            return False
        self._drop()
        if restarted:
            self._samples = 0
            self._baseline_s = 0.0
        return True

    def restart(self) -> None:
        """Reset the limit to that of a cold server without counting a drop."""
        self.value = self._start
        self._consecutive_successes = 0

    def _drop(self) -> None:
        self.restart()
        self.drops += 1
