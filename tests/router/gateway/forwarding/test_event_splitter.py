"""Event streams that break and are resumed at another server."""

from __future__ import annotations

from itertools import pairwise

from hypothesis import given
from hypothesis import strategies as st

from cornellead.gateway.forwarding import EventSplitter


def _event(number: int) -> bytes:
    return b"id: %d\ndata: x%d\n\n" % (number, number)


@given(cuts=st.lists(st.integers(1, 400), max_size=20), broken_at=st.integers(0, 300))
def test_resumed_stream_has_each_event_once(cuts: list[int], broken_at: int) -> None:
    """Guards against events that reach the caller twice or not at all after a resume."""
    stream = b"".join(_event(number) for number in range(1, 21))
    events = EventSplitter(last_event_id="")
    delivered = b""
    first_stream = stream[:broken_at]
    for start, end in _pieces(cuts, len(first_stream)):
        delivered += events.feed(first_stream[start:end])
    events.restart()
    # The next server may send the last event again.
    resumed_from = max(1, int(events.last_event_id or "0"))
    second_stream = b"".join(_event(number) for number in range(resumed_from, 21))
    for start, end in _pieces(cuts, len(second_stream)):
        delivered += events.feed(second_stream[start:end])
    assert delivered == stream


def test_last_event_id_follows_single_events() -> None:
    """Guards against a resume from the first event if each read returned a single event."""
    events = EventSplitter(last_event_id="")
    events.feed(_event(1))
    events.feed(_event(2))
    assert events.last_event_id == "2"


def _pieces(cuts: list[int], length: int) -> list[tuple[int, int]]:
    points = sorted({0, length, *(cut for cut in cuts if cut < length)})
    return list(pairwise(points))


def test_resume_that_skips_events_sets_has_gap() -> None:
    """Guards against a stream that looks complete although the resumed part skipped events."""
    events = EventSplitter(last_event_id="")
    events.feed(_event(1))
    events.restart()
    assert events.feed(_event(3)) == b""
    assert events.has_gap
    events.restart()
    assert events.feed(_event(2) + _event(3)) == _event(2) + _event(3)
    assert not events.has_gap


def test_event_id_of_thousands_of_digits_is_passed_on() -> None:
    """Guards against a stream that ends without an answer because of its event ids."""
    event = b"id: " + b"9" * 5000 + b"\ndata: x\n\n"
    events = EventSplitter(last_event_id="9" * 5000)
    events.restart()
    assert events.feed(event) in (event, b"")
    events = EventSplitter(last_event_id="2")
    events.restart()
    assert events.feed(event) == b"" and events.has_gap
