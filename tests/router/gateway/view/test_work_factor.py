"""Work factors of servers, which arrive with responses."""

from __future__ import annotations

import pytest
from tests.router.gateway.builders import make_state

from cornellead.gateway.view._work_factor import MAX_AGE_S
from cornellead.gateway.view._work_factor import WorkFactor
from cornellead_core.routing import ReportedLoad


def test_old_factor_counts_as_usual() -> None:
    """Guards against a server that is avoided for good, since it gets no requests that would tell
    that it has recovered."""
    state = make_state()
    state.record_reported_load(ReportedLoad(1, 0, 64, 2.5), now=1.0)
    assert state.work.value(now=1.0 + MAX_AGE_S) == 2.5
    assert state.work.value(now=1.1 + MAX_AGE_S) == 1.0


def test_header_without_factor_changes_nothing() -> None:
    """Guards against a version of the servers that reports three figures only."""
    state = make_state()
    state.record_reported_load(ReportedLoad(1, 0, 64), now=1.0)
    assert state.work.value(now=1.0) == state.work.drift(now=1.0) == 1.0


def test_factor_that_changes_many_times_a_second_is_smoothed() -> None:
    """Guards against placement by a single figure out of many."""
    work = WorkFactor()
    for number in range(100):
        work.record(2.0 if number % 2 else 1.0, now=number * 0.02)
    assert work.value(now=2.0) == pytest.approx(1.5, abs=0.1)


def test_drift_is_the_change_since_the_latest_responses() -> None:
    """Guards against counting the slowness of a server twice, since measured latencies have it."""
    work = WorkFactor()
    for number in range(50):
        work.record(2.5, now=float(number))
    assert work.drift(now=49.0) == pytest.approx(1.0)
    work.record(5.0, now=53.0)
    assert work.drift(now=53.0) == pytest.approx(5.0 / 3.0, rel=0.01)


def test_report_before_the_first_response_counts_once() -> None:
    """Guards against a slow server whose measured latency, which contains its factor, is multiplied
    by the factor again because other routers reported it first."""
    work = WorkFactor()
    work.record_report(2.5, at=0.0)
    work.record(2.5, now=0.1)
    assert work.drift(now=0.1) == 1.0
