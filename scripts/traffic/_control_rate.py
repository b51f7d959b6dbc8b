"""Peak rate of control traffic, from periodic samples of byte counters."""

from __future__ import annotations

from collections import deque

WINDOW_S = 10.0


class ControlRate:
    """Peak control traffic of each process, averaged over a sliding window of 10 s.

    A window begins at a sample, so bytes sent between the start of a process and its first sample
    (the transfer of the configuration) are not counted.

    >>> rate = ControlRate()
    >>> for at_s, count in [(0.0, 500), (5.0, 9_500), (11.0, 20_000), (12.0, 100)]:
    ...     rate.add_sample("agent-1", count, at_s=at_s)
    >>> rate.peak_bytes_per_s
    {'agent-1': 1772.7272727272727}
    """

    def __init__(self) -> None:
        self._samples: dict[str, deque[tuple[float, int]]] = {}
        self.peak_bytes_per_s: dict[str, float] = {}
        """Peak bytes per second by process."""

    def add_sample(self, name: str, total_bytes: int, *, at_s: float) -> None:
        """Add a sample of a byte counter; a lower value means that the process was restarted."""
        samples = self._samples.get(name)
        if samples is None or total_bytes < samples[-1][1]:
            self._samples[name] = deque([(at_s, total_bytes)])
            return
        samples.append((at_s, total_bytes))
        while len(samples) > 2 and at_s - samples[1][0] >= WINDOW_S:
            samples.popleft()
        span_s = at_s - samples[0][0]
        if span_s >= WINDOW_S:
            rate = (total_bytes - samples[0][1]) / span_s
            self.peak_bytes_per_s[name] = max(self.peak_bytes_per_s.get(name, 0.0), rate)
