"""Limit on the work of a server whose caches may be cold."""

from __future__ import annotations

from typing import NamedTuple

BASELINE_WEIGHT = 0.05
"""Weight of the newest sample in the moving mean of the time to first token."""
BASELINE_SAMPLES = 8
"""Samples before the moving mean is compared with."""
SLOW_FACTOR = 3.0


class ServerSample(NamedTuple):
    """What the server reports of itself, as far as it shows whether it is cold."""

    boot_id: str
    restarts: int
    running: int
    cached_blocks: int


class ColdLimit:
    """Rises with observed success and drops at once on a sign that the server is cold.

    :param start: Requests that a cold server bears.
    :param capacity: Requests that a warm server bears.
    :param ceiling_s: Time to first token up to which a request counts as a success, in seconds.

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
        self._streak = 0
        self._baseline_s = 0.0
        self._samples = 0
        self._last: ServerSample | None = None
        self.value = self._start
        self.drops = 0

    def record_success(self, *, first_token_s: float) -> None:
        """Count a request that the server finished."""
        slow = first_token_s > max(SLOW_FACTOR * self._baseline_s, self._ceiling_s)
        if self._samples >= BASELINE_SAMPLES and slow:
            self._drop()
            return
        weight = max(BASELINE_WEIGHT, 1 / (self._samples + 1))
        self._baseline_s += weight * (first_token_s - self._baseline_s)
        self._samples += 1
        if first_token_s > self._ceiling_s:
            self._streak = 0
            return
        self._streak += 1
        if self._streak >= self.value and self.value < self._capacity:
            self.value = min(self._capacity, 2 * self.value)
            self._streak = 0

    def record_error(self) -> None:
        """Count a request that failed at the server."""
        self._drop()

    def observe(self, sample: ServerSample) -> bool:
        """Compare a sample with the one before.

        :returns: Whether the server shows that it became cold.
        """
        last, self._last = self._last, sample
        if last is None:
            # A server that is already busy has shown that it bears this work.
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
        """Start again from the limit of a cold server."""
        self.value = self._start
        self._streak = 0

    def _drop(self) -> None:
        self.restart()
        self.drops += 1
