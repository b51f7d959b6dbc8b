"""Log output under a flood of lines and a reader that does not read."""

from __future__ import annotations

import os
import time

from cornellead_core.logs import BoundedOutput


def test_full_pipe_does_not_block() -> None:
    """Guards against a process that stands still because nobody reads its logs."""
    read_end, write_end = os.pipe()
    now = [0.0]
    output = BoundedOutput(descriptor=write_end, clock=lambda: now[0])
    before = time.monotonic()
    for _ in range(3000):
        now[0] += 0.01
        output.msg("x" * 200)
    assert time.monotonic() - before < 2.0
    assert output.dropped > 0
    lines = os.read(read_end, 1 << 20).split(b"\n")[:-1]
    # No line is cut where the pipe was full; the others are notices of dropped lines.
    assert {line for line in lines if not line.startswith(b"{")} == {b"x" * 200}


def test_rate_is_bounded_and_drops_are_counted() -> None:
    """Guards against logs that cost more than the requests they describe."""
    read_end, write_end = os.pipe()
    now = [0.0]
    output = BoundedOutput(descriptor=write_end, clock=lambda: now[0])
    for _ in range(2000):
        output.msg("x")
    assert output.dropped == 1400
    now[0] = 6.0
    output.msg("x")
    assert b'"log lines dropped", "total": 1400' in os.read(read_end, 1 << 20)
