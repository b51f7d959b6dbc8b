"""Log output that never blocks and is limited in rate."""

from __future__ import annotations

import os
import time
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

MAX_LINES_PER_S = 300.0
"""Sustained rate; a router at its share of the target load writes about 20 lines a second."""
BURST_LINES = 600.0
"""Capacity of the token bucket: lines that may be written at once."""
NOTICE_INTERVAL_S = 5.0
"""Minimum interval between two notices of dropped lines."""


class RateLimitedOutput:
    """Writes lines to a file descriptor; drops those that exceed the rate limit or would block.

    :param descriptor: File descriptor, which is set to non-blocking mode.
    :param clock: Returns monotonic seconds.

    >>> read_end, write_end = os.pipe()
    >>> output = RateLimitedOutput(descriptor=write_end, clock=lambda: 0.0)
    >>> output.msg("line")
    >>> os.read(read_end, 100)
    b'line\\n'
    """

    def __init__(self, *, descriptor: int, clock: Callable[[], float] = time.monotonic) -> None:
        self._descriptor = descriptor
        self._clock = clock
        self._tokens = BURST_LINES
        self._refilled_at = clock()
        self._last_notice_at = clock()
        self._unwritten = b""
        self.dropped = 0
        """Total number of dropped lines."""
        self._reported_drops = 0
        os.set_blocking(descriptor, False)

    def msg(self, line: str) -> None:
        """Write a line, or drop it."""
        now = self._clock()
        self._tokens = min(BURST_LINES, self._tokens + (now - self._refilled_at) * MAX_LINES_PER_S)
        self._refilled_at = now
        if self._tokens < 1.0:
            self.dropped += 1
            return
        self._tokens -= 1.0
        if not self._write(line.encode() + b"\n"):
            self.dropped += 1
        if self.dropped > self._reported_drops and now - self._last_notice_at >= NOTICE_INTERVAL_S:
            self._last_notice_at = now
            notice = b'{"event": "log lines dropped", "total": %d}\n' % self.dropped
            if self._write(notice):
                self._reported_drops = self.dropped

    debug = info = warning = error = critical = exception = log = fatal = failure = msg

    def _write(self, data: bytes) -> bool:
        # Complete the line that a full pipe cut off before writing the next one.
        pending = self._unwritten + data
        try:
            written = os.write(self._descriptor, pending)
        except BlockingIOError:
            return False
        except OSError:
            # The reader has closed the pipe; the process keeps serving without logs.
            return False
        if written < len(self._unwritten):
            self._unwritten = self._unwritten[written:]
            return False
        self._unwritten = pending[written:]
        return True
