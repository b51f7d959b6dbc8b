"""Latency histogram that can be merged across processes."""

from __future__ import annotations

from hdrh.histogram import HdrHistogram

LOWEST_US = 1
HIGHEST_US = 600_000_000
SIGNIFICANT_DIGITS = 2


class LatencyHistogram:
    """Histogram of latencies from 1 µs to 10 minutes with two significant digits.

    Latencies outside this range are recorded as its nearest limit.

    >>> latency = LatencyHistogram()
    >>> latency.record(0.010)
    >>> round(latency.quantile(0.99), 3)
    0.01
    """

    def __init__(self) -> None:
        self._histogram = HdrHistogram(LOWEST_US, HIGHEST_US, SIGNIFICANT_DIGITS)

    def record(self, seconds: float) -> None:
        """Record a latency in seconds."""
        self._histogram.record_value(min(HIGHEST_US, max(LOWEST_US, round(seconds * 1e6))))

    def quantile(self, fraction: float) -> float:
        """Return a quantile in seconds.

        :param fraction: Between 0 and 1.
        """
        return float(self._histogram.get_value_at_percentile(fraction * 100)) / 1e6

    @property
    def count(self) -> int:
        """Number of recorded latencies."""
        return int(self._histogram.get_total_count())

    def encode(self) -> bytes:
        """Encode the histogram for `merge` in another process."""
        return bytes(self._histogram.encode())

    def merge(self, encoded: bytes) -> None:
        """Add the latencies of an encoded histogram to this one."""
        self._histogram.decode_and_add(encoded)
