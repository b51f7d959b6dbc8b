"""Counters of control traffic."""

from __future__ import annotations

from collections import deque

FRAME_BYTES = 12
"""Size of the length prefix and request id that the transport adds to each message."""
RATE_WINDOW_S = 10.0
"""Minimum window of a rate; an average since process start would hide the current traffic."""


class Traffic:
    """Counts bytes and messages of the control traffic of one process.

    >>> traffic = Traffic()
    >>> traffic.bytes_per_s(started_at=0.0, now=1.0)
    0.0
    >>> traffic.count_sent(b"x" * 88)
    >>> traffic.bytes_per_s(started_at=0.0, now=5.0), traffic.bytes_per_s(started_at=0.0, now=20.0)
    (20.0, 0.0)
    """

    def __init__(self) -> None:
        self.bytes_sent = 0
        self.bytes_received = 0
        self.messages_sent = 0
        self.messages_received = 0
        self.messages_rejected = 0
        self._samples: deque[tuple[float, int]] = deque()

    def count_sent(self, message: bytes) -> None:
        """Count a message handed to the transport."""
        self.messages_sent += 1
        self.bytes_sent += len(message) + FRAME_BYTES

    def count_received(self, message: bytes) -> None:
        """Count a message received from the transport."""
        self.messages_received += 1
        self.bytes_received += len(message) + FRAME_BYTES

    def bytes_per_s(self, *, started_at: float, now: float) -> float:
        """Return bytes per second since a sample at least `RATE_WINDOW_S` old, or since the start.

        Each call takes a sample.

        :param started_at: Monotonic time at which the process started, in seconds.
        """
        if not self._samples:
            self._samples.append((started_at, 0))
        while len(self._samples) > 1 and now - self._samples[1][0] >= RATE_WINDOW_S:
            self._samples.popleft()
        sampled_at, sampled_bytes = self._samples[0]
        self._samples.append((now, self.total_bytes))
        return (self.total_bytes - sampled_bytes) / max(1.0, now - sampled_at)

    @property
    def total_bytes(self) -> int:
        """Sum of bytes sent and received."""
        return self.bytes_sent + self.bytes_received
