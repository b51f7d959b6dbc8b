"""Tests of the reports on what routers hold."""

from __future__ import annotations

import msgspec
import pytest

from cornellead.gateway.exchange import QueueChannel
from cornellead.gateway.view import QueueReports
from cornellead_core.decoding import UNREADABLE


def _reports(router: str, held: dict[str, dict[int, int]]) -> QueueReports:
    reports = QueueReports(router=router)
    reports.read_held = lambda: held
    return reports


def test_lost_router_is_forgotten() -> None:
    """Guards against places that stay reserved for what a lost router held."""
    channel = QueueChannel(reports=_reports("r2", {"shop": {0: 4, 2: 1}}))
    data = channel.encode(now=0.0)
    assert data is not None
    view = _reports("r1", {})
    QueueChannel(reports=view).apply(data, now=5.0)
    assert view.others("shop", heard_share=1.0, now=5.9) == {0: 4.0, 2: 1.0}
    assert view.others("shop", heard_share=0.5, now=5.9) == {0: 8.0, 2: 2.0}
    assert view.others("mail", heard_share=1.0, now=5.9) == {}
    assert view.others("shop", heard_share=1.0, now=6.1) == {}


def test_empty_queue_is_told_and_then_nothing() -> None:
    """Guards against bytes for reports while nothing is held, and against a stale report."""
    held = {"shop": {0: 1}}
    reports = _reports("r1", held)
    assert reports.make_report() is not None
    held.clear()
    assert [reports.make_report() is None for _ in range(4)] == [False, False, False, True]


def test_bad_reports_are_refused() -> None:
    """Guards against a negative number of requests, which would add places."""
    channel = QueueChannel(reports=_reports("r1", {}))
    for bad in (["r2", {7: {0: -1}}], ["r2", {7: 3}], "r2"):
        with pytest.raises(UNREADABLE):
            channel.apply(msgspec.msgpack.encode(bad), now=0.0)
