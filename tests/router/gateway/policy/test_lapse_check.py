"""Tests of the decision whether a removed entry has lapsed, with known times of its writes."""

from __future__ import annotations

from typing import NamedTuple

from hypothesis import given
from hypothesis import strategies as st
from tests.router.gateway.builders import make_entry

from cornellead.gateway.policy import LapseCheck
from cornellead_core.routing import Notice
from cornellead_core.routing import ServerNotice

HEARTBEAT_S = 1.0
LAPSE_S = 3.0
END_S = 20.0

INTERVALS = st.lists(st.floats(0.9, 1.15), min_size=30, max_size=30)
SILENCES = st.tuples(st.floats(0.0, END_S), st.floats(0.0, 8.0))


class Write(NamedTuple):
    """Write of an entry, or its removal by the store."""

    at: float
    notice: ServerNotice


def _writes(server: str, intervals: list[float], silence: tuple[float, float]) -> list[Write]:
    """Return the renewals of a server that cannot write for a time, and its lapses."""
    writes: list[Write] = []
    begin, end = silence[0], sum(silence)
    at = 0.0
    for number, interval in enumerate(intervals):
        if not begin <= at < end:
            if writes and at - writes[-1].at > LAPSE_S:
                lapse = ServerNotice(server, None, removed=True)
                writes.append(Write(writes[-1].at + LAPSE_S, lapse))
            entry = make_entry(server, sequence=number + 1)
            writes.append(Write(at, ServerNotice(server, entry, removed=False)))
        at += interval
    return writes


def _read(writes: list[Write], reads: list[float]) -> dict[str, bool]:
    """Read the writes at some times, and return for each removed server whether it left."""
    check = LapseCheck(data_centre="dc-a", heartbeat_s=lambda: HEARTBEAT_S)
    verdicts: dict[str, bool] = {}
    since, position = float("-inf"), 0
    ordered = sorted(writes, key=lambda write: write.at)
    for now in reads:
        notices: list[Notice] = [write.notice for write in ordered[position:] if write.at <= now]
        position += len(notices)
        left = check.find_left(notices, since=since, now=now)
        for notice in notices:
            if isinstance(notice, ServerNotice) and notice.removed:
                verdicts[notice.server] = notice.server in left
        since = now
    return verdicts


@given(
    intervals=st.tuples(INTERVALS, INTERVALS),
    down=SILENCES,
    reads=st.lists(st.floats(0.0, END_S), min_size=1, max_size=40),
)
def test_entries_that_lapsed_in_an_outage_never_count_as_left(
    intervals: tuple[list[float], list[float]], down: tuple[float, float], reads: list[float]
) -> None:
    """Guards against dropping sound servers, whenever the store was down or cut off with them."""
    writes = [*_writes("s1", intervals[0], down), *_writes("s2", intervals[1], down)]
    assert not any(_read(writes, [*sorted(reads), END_S]).values())


@given(
    intervals=st.tuples(INTERVALS, INTERVALS),
    cut_off=SILENCES,
    reads=st.lists(st.floats(0.0, END_S), min_size=1, max_size=40),
)
def test_entry_of_a_server_that_is_cut_off_alone_never_counts_as_left(
    intervals: tuple[list[float], list[float]], cut_off: tuple[float, float], reads: list[float]
) -> None:
    """Guards against taking the writes of other servers for those of one that is cut off."""
    writes = [*_writes("s1", intervals[0], cut_off), *_writes("s2", intervals[1], (0.0, 0.0))]
    assert not any(_read(writes, [*sorted(reads), END_S]).values())


@given(
    intervals=st.tuples(INTERVALS, INTERVALS),
    cut=st.tuples(st.floats(4.0, 8.0), st.floats(1.0, 6.0)),
    removed=st.floats(-1.0, 2.0),
    noticed_s=st.floats(0.0, 1.1),
)
def test_server_that_leaves_around_a_cut_counts_as_left(
    intervals: tuple[list[float], list[float]],
    cut: tuple[float, float],
    removed: float,
    noticed_s: float,
) -> None:
    """Guards against requests to a server that has left, when only the router was cut off."""
    end = sum(cut)
    left_at = max(cut[0], end + removed)
    writes = [write for write in _writes("s1", intervals[0], (0.0, 0.0)) if write.at < left_at]
    writes.append(Write(left_at, ServerNotice("s1", None, removed=True)))
    writes += _writes("s2", intervals[1], (0.0, 0.0))
    reads = [0.5 * number for number in range(60)]
    read_at = [at for at in reads if not cut[0] <= at < end + noticed_s]
    assert _read(writes, read_at) == {"s1": True}


def test_nothing_counts_as_left_if_the_heartbeat_is_unknown() -> None:
    """Guards against a deployment whose settings name no interval."""
    check = LapseCheck(data_centre="dc-a", heartbeat_s=lambda: 0.0)
    entry = ServerNotice("s1", make_entry("s1", sequence=1), removed=False)
    gone = ServerNotice("s1", None, removed=True)
    assert check.find_left([entry, gone], since=1.0, now=1.0) == set()


def test_server_that_is_back_has_not_left() -> None:
    """Guards against dropping a server whose entry was written again after its removal."""
    check = LapseCheck(data_centre="dc-a", heartbeat_s=lambda: HEARTBEAT_S)
    entry = ServerNotice("s1", make_entry("s1", sequence=1), removed=False)
    gone = ServerNotice("s1", None, removed=True)
    assert check.find_left([entry, gone], since=1.0, now=1.5) == {"s1"}
    assert check.find_left([entry, gone, entry], since=1.5, now=2.0) == set()
