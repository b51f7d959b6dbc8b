"""Log output that never blocks and is bounded in volume."""

from __future__ import annotations

import os
import time
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

LINES_PER_S = 300.0
"""Sustained rate of lines; a router at its share of the target writes about 20 a second."""
BURST_LINES = 600.0
"""Lines that may be written at once."""
DROP_NOTICE_S = 5.0
"""Interval at which the number of dropped lines is written."""


class BoundedOutput:
    """Writes lines to a descriptor and drops what exceeds the rate or would block.

    :param clock: Returns monotonic seconds.

    >>> read_end, write_end = os.pipe()
    >>> output = BoundedOutput(descriptor=write_end, clock=lambda: 0.0)
    >>> output.msg("line")
    >>> os.read(read_end, 100)
    b'line\\n'
    """

    def __init__(self, *, descriptor: int, clock: Callable[[], float] = time.monotonic) -> None:
        self._descriptor = descriptor
        self._clock = clock
        self._tokens = BURST_LINES
        self._filled_at = clock()
        self._noticed_at = clock()
        self._rest = b""
        self.dropped = 0
        """Lines dropped so far."""
        self._reported = 0
        os.set_blocking(descriptor, False)

    def msg(self, line: str) -> None:
        """Write a line, or drop it."""
        now = self._clock()
        self._tokens = min(BURST_LINES, self._tokens + (now - self._filled_at) * LINES_PER_S)
        self._filled_at = now
        if self._tokens < 1.0:
            self.dropped += 1
            return
        self._tokens -= 1.0
        if not self._write(line.encode() + b"\n"):
            self.dropped += 1
        if self.dropped > self._reported and now - self._noticed_at >= DROP_NOTICE_S:
            self._noticed_at = now
            notice = b'{"event": "log lines dropped", "total": %d}\n' % self.dropped
            if self._write(notice):
                self._reported = self.dropped

    debug = info = warning = error = critical = exception = log = fatal = failure = msg

    def _write(self, data: bytes) -> bool:
        # A line that was cut off by a full pipe is finished before the next one.
        pending = self._rest + data
        try:
            written = os.write(self._descriptor, pending)
        except BlockingIOError:
            return False
        except OSError:
            # The reader is gone; serving goes on without logs.
            return False
        if written < len(self._rest):
            self._rest = self._rest[written:]
            return False
        self._rest = pending[written:]
        return True
