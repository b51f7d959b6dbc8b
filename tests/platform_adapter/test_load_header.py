"""Decoding of the load that servers report."""

from __future__ import annotations

import pytest
import structlog

from cornellead_core.routing import ReportedLoad
from cornellead_platform import PlatformHeaders
from cornellead_platform._load_header import LOG_INTERVAL_S
from cornellead_platform._load_header import LoadHeader


def _decode(value: bytes) -> ReportedLoad | None:
    return PlatformHeaders().decode_reply(200, [(b"X-Server-Load", value)]).load


@pytest.mark.parametrize(
    ("value", "factor"),
    [(b"5,1,8,100", 1.0), (b"5, 1, 8, 250", 2.5), (b"5,1,8,87.5", 0.875), (b"5,1,8", None)],
)
def test_work_factor_is_optional(value: bytes, factor: float | None) -> None:
    """Guards against a fourth figure with which the whole header is dropped."""
    assert _decode(value) == ReportedLoad(5, 1, 8, factor)


@pytest.mark.parametrize(
    "figures", ["0", "1000000", "-100", "nan", "inf", "x", "", "100,5", "9" * 5000]
)
def test_faulty_work_factor_leaves_the_other_figures(figures: str) -> None:
    """Guards against a faulty factor that is used, or that takes the other figures with it."""
    with structlog.testing.capture_logs() as lines:
        assert _decode(f"5,1,8,{figures}".encode()) == ReportedLoad(5, 1, 8)
    (line,) = lines
    assert line["consequence"] == "work factor ignored" and len(line["value"]) <= 60


@pytest.mark.parametrize("value", [b"", b"5,1", b"5,x,8,100", b"-5,1,8", b"9" * 5000 + b",0,8"])
def test_faulty_counts_are_ignored(value: bytes) -> None:
    """Guards against a load that is made up, and against an error that ends the request."""
    with structlog.testing.capture_logs() as lines:
        assert _decode(value) is None
    assert [line["consequence"] for line in lines] == ["load ignored"]


def test_faulty_headers_give_one_line_at_a_time() -> None:
    """Guards against a log line for each response of a faulty server."""
    now = 0.0
    header = LoadHeader(clock=lambda: now)
    with structlog.testing.capture_logs() as lines:
        for _ in range(100):
            header.decode(b"5,1,8,0")
        now = LOG_INTERVAL_S
        header.decode(b"5,1,8,0")
    assert [line["headers"] for line in lines] == [1, 101]
