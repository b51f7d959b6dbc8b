"""Tests of log output at an excessive rate of lines and with a stalled reader."""

from __future__ import annotations

import os
import time

from cornellead_core.logs import RateLimitedOutput


def test_full_pipe_does_not_block() -> None:
    """Guards against a process that blocks because its log pipe is not read."""
    read_end, write_end = os.pipe()
    now = [0.0]
    output = RateLimitedOutput(descriptor=write_end, clock=lambda: now[0])
    before = time.monotonic()
    for _ in range(3000):
        now[0] += 0.01
        output.msg("x" * 200)
    assert time.monotonic() - before < 2.0
    assert output.dropped > 0
    lines = os.read(read_end, 1 << 20).split(b"\n")[:-1]
    # No line is truncated where the pipe was full; lines of JSON are notices of dropped lines.
    assert {line for line in lines if not line.startswith(b"{")} == {b"x" * 200}


def test_rate_is_limited_and_dropped_lines_are_counted() -> None:
    """Guards against logging that costs more than the requests it describes."""
    read_end, write_end = os.pipe()
    now = [0.0]
    output = RateLimitedOutput(descriptor=write_end, clock=lambda: now[0])
    for _ in range(2000):
        output.msg("x")
    assert output.dropped == 1400
    now[0] = 6.0
    output.msg("x")
    assert b'"log lines dropped", "total": 1400' in os.read(read_end, 1 << 20)
