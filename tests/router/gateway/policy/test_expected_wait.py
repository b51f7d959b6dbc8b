"""Tests of the expected wait for a slot."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from cornellead.gateway.policy import expected_wait_s

SLOT_DURATIONS_S = st.floats(0.0, 30.0)
SLOTS = st.integers(1, 128)


@given(st.floats(0.0, 500.0), SLOTS, SLOT_DURATIONS_S)
def test_no_wait_while_slots_are_free(ahead: float, slots: int, slot_duration_s: float) -> None:
    """Guards against rejecting a request that a server would run immediately."""
    wait_s = expected_wait_s(ahead=ahead, slots=slots, slot_duration_s=slot_duration_s)
    assert wait_s >= 0.0
    if ahead <= slots - 1:
        assert wait_s == 0.0


@given(st.floats(0.0, 500.0), st.floats(0.0, 100.0), SLOTS, SLOT_DURATIONS_S)
def test_wait_grows_with_the_requests_ahead(
    ahead: float, more: float, slots: int, slot_duration_s: float
) -> None:
    """Guards against a shorter estimate for a longer queue."""
    shorter = expected_wait_s(ahead=ahead, slots=slots, slot_duration_s=slot_duration_s)
    assert (
        expected_wait_s(ahead=ahead + more, slots=slots, slot_duration_s=slot_duration_s) >= shorter
    )


def test_no_wait_is_expected_without_slots_or_slot_duration() -> None:
    """Guards against rejecting all requests before the first response."""
    assert expected_wait_s(ahead=900.0, slots=0, slot_duration_s=2.0) == 0.0
    assert expected_wait_s(ahead=900.0, slots=64, slot_duration_s=0.0) == 0.0
