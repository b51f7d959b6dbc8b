"""Streams that break and go on at another server."""

from __future__ import annotations

from itertools import pairwise

from hypothesis import given
from hypothesis import strategies as st

from cornellead.gateway.forwarding import EventSplitter


def _event(number: int) -> bytes:
    return b"id: %d\ndata: x%d\n\n" % (number, number)


@given(cuts=st.lists(st.integers(1, 400), max_size=20), broken_at=st.integers(0, 300))
def test_no_event_is_lost_or_doubled_over_a_break(cuts: list[int], broken_at: int) -> None:
    """Guards against an event that reaches the caller twice, or never, after a resume."""
    stream = b"".join(_event(number) for number in range(1, 21))
    events = EventSplitter(last_event="")
    delivered = b""
    first_run = stream[:broken_at]
    for start, end in _pieces(cuts, len(first_run)):
        delivered += events.feed(first_run[start:end])
    events.restart()
    # The next server may repeat the last event.
    resumed_from = max(1, int(events.last_event or "0"))
    second_run = b"".join(_event(number) for number in range(resumed_from, 21))
    for start, end in _pieces(cuts, len(second_run)):
        delivered += events.feed(second_run[start:end])
    assert delivered == stream


def test_id_of_a_single_event_is_known() -> None:
    """Guards against a resume that starts from the beginning after one event per read."""
    events = EventSplitter(last_event="")
    events.feed(_event(1))
    events.feed(_event(2))
    assert events.last_event == "2"


def _pieces(cuts: list[int], length: int) -> list[tuple[int, int]]:
    points = sorted({0, length, *(cut for cut in cuts if cut < length)})
    return list(pairwise(points))


def test_run_that_skips_events_is_noticed() -> None:
    """Guards against a stream that looks whole although a resume left events out."""
    events = EventSplitter(last_event="")
    events.feed(_event(1))
    events.restart()
    assert events.feed(_event(3)) == b""
    assert events.gap
    events.restart()
    assert events.feed(_event(2) + _event(3)) == _event(2) + _event(3)
    assert not events.gap
