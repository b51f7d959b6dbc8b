"""Tests of the order and the bounds of requests that wait for a place."""

from __future__ import annotations

from collections import Counter

from hypothesis import given
from hypothesis import strategies as st

from cornellead.gateway.policy import HeldRequest
from cornellead.gateway.policy import PlaceQueue
from cornellead.gateway.policy import ServerLoad


def _held(number: int, *, team: str = "a", urgency: int = 1, late_at: float = 9.0) -> HeldRequest:
    return HeldRequest(number, team, urgency, late_at, give_up_at=20.0)


def _take_one(queue: PlaceQueue, *, now: float = 0.0) -> HeldRequest:
    queue.record_end()
    (taken,) = queue.take_ready([ServerLoad(6.5, 6)], {}, now=now)
    return taken


def test_places_go_by_urgency_then_target_then_team_then_time() -> None:
    """Guards against less urgent requests, late ones or a large team that take the places."""
    queue = PlaceQueue()
    for held in (
        _held(0, urgency=2),
        _held(1, late_at=-1.0),
        _held(2, team="b", late_at=8.0),
        _held(3, late_at=7.0),
        _held(4, late_at=6.0),
        _held(5, urgency=0),
    ):
        queue.add(held, now=0.0)
    taken = [_take_one(queue).number for _ in range(6)]
    assert taken[0] == 5
    assert taken[1] == 2
    assert taken[2:] == [4, 3, 1, 0]


@given(st.integers(1, 5), st.integers(20, 60))
def test_small_team_gets_all_it_asks_for(small: int, large: int) -> None:
    """Guards against places by the number of requests that a team sends."""
    queue = PlaceQueue()
    for number in range(large):
        queue.add(_held(number, team="large"), now=0.0)
    for number in range(small):
        queue.add(_held(large + number, team="small"), now=0.0)
    taken = Counter(_take_one(queue).team for _ in range(2 * small + 1))
    assert taken["small"] == small


def test_full_queue_drops_the_least_urgent_of_the_largest_team() -> None:
    """Guards against a queue without a bound, and against urgent requests that are dropped."""
    queue = PlaceQueue(max_held=3)
    queue.add(_held(0, urgency=0), now=0.0)
    queue.add(_held(1, urgency=2, team="large"), now=0.0)
    queue.add(_held(2, urgency=2, team="small"), now=0.0)
    dropped = queue.add(_held(3, urgency=2, team="large"), now=0.0)
    assert dropped is not None
    assert dropped.number == 3
    dropped = queue.add(_held(4, urgency=0, team="large"), now=0.0)
    assert dropped is not None
    assert dropped.urgency == 2
    assert len(queue) == 3


def test_places_of_all_routers_are_not_taken_by_each() -> None:
    """Guards against many routers that all use the same place, and against one that stays idle."""
    queues = [PlaceQueue() for _ in range(10)]
    for queue in queues:
        for number in range(20):
            queue.add(_held(number), now=0.0)
        queue.take_ready([ServerLoad(9.0, 6)], {1: 180.0}, now=0.0)
    sent = sum(
        len(queue.take_ready([ServerLoad(2.0, 6)], {1: 180.0}, now=0.05 * turn))
        for turn in range(1, 41)
        for queue in queues
    )
    # The places that are seen during two seconds, in turns of 0.1 s.
    assert 0.8 * 100 <= sent <= 100


def test_urgent_requests_elsewhere_come_first_unless_slots_are_idle() -> None:
    """Guards against a place for a less urgent request because of the router that holds it."""
    queue = PlaceQueue()
    queue.add(_held(0, urgency=2), now=0.0)
    others = {0: 50.0}
    assert not queue.take_ready([ServerLoad(6.5, 6)], others, now=1.0)
    ready = [
        queue.take_ready([ServerLoad(0.0, 6)], others, now=1.0 + 0.1 * turn) for turn in range(12)
    ]
    assert sum(map(len, ready)) == 1


def test_expected_wait_counts_what_precedes() -> None:
    """Guards against a Retry-After that has nothing to do with the places."""
    queue = PlaceQueue()
    for number in range(30):
        queue.add(_held(number, team="large"), now=0.0)
    assert queue.expected_wait_s(_held(90), now=0.0) == 0.0
    for _ in range(10):
        _take_one(queue)
    assert queue.expected_wait_s(_held(91, team="large"), now=1.0) == 2.1
    assert queue.expected_wait_s(_held(92, team="small"), now=1.0) == 0.2
    assert queue.expected_wait_s(_held(93, urgency=0), now=1.0) == 0.1


def test_queue_that_has_just_formed_knows_its_rate() -> None:
    """Guards against refusals because of a rate over a time in which nothing waited."""
    queue = PlaceQueue()
    for number in range(10):
        queue.add(_held(number), now=50.0)
    for turn in range(4):
        _take_one(queue, now=50.0 + 0.05 * turn)
    # Four places in 0.2 s, and seven requests.
    assert round(queue.expected_wait_s(_held(90), now=50.2), 9) == 0.35


def test_requests_that_waited_too_long_are_taken_out() -> None:
    """Guards against a request that is held past the point at which it can be served."""
    queue = PlaceQueue()
    queue.add(_held(0), now=0.0)
    assert not queue.take_expired(now=19.0)
    assert [held.number for held in queue.take_expired(now=20.0)] == [0]
    assert not len(queue)
