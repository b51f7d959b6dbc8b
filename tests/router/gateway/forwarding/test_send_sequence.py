"""Tests of the order of steps in which a request tries servers."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cornellead.gateway.forwarding._outcome import BrokenResponse
from cornellead.gateway.forwarding._outcome import DeliveredResponse
from cornellead.gateway.forwarding._outcome import ErrorResponse
from cornellead.gateway.forwarding._outcome import NotRunResponse
from cornellead.gateway.forwarding._search_timing import MAX_CONNECT_FAILURES
from cornellead.gateway.forwarding._send_sequence import SendSequence
from cornellead.gateway.forwarding._send_sequence import SendStep


def _advance_to_connect(sequence: SendSequence) -> None:
    sequence.allow_send()
    sequence.record_chosen()


def test_paid_retry_covers_servers_that_accept_no_connection() -> None:
    """Guards against spending the retry budget on servers to which nothing was sent."""
    sequence = SendSequence()
    assert not sequence.needs_retry(sends=0)
    assert sequence.needs_retry(sends=1)
    sequence.record_retry_paid()
    _advance_to_connect(sequence)
    sequence.record_unreachable()
    assert sequence.step is SendStep.CHECK
    assert not sequence.needs_retry(sends=1)
    _advance_to_connect(sequence)
    sequence.record_sent()
    assert sequence.needs_retry(sends=2)


def test_search_ends_after_some_unreachable_servers() -> None:
    """Guards against a request that asks every server of a fleet that is unreachable."""
    sequence = SendSequence()
    for _ in range(MAX_CONNECT_FAILURES):
        assert sequence.step is SendStep.CHECK
        _advance_to_connect(sequence)
        sequence.record_unreachable()
    assert sequence.step is SendStep.DONE
    assert sequence.delivered is None


def test_successor_is_relayed_and_latest_error_kept() -> None:
    """Guards against a successor that is dropped, and an error response that is lost."""
    sequence = SendSequence()
    error = ErrorResponse(500, [], b"x")
    _advance_to_connect(sequence)
    sequence.record_sent()
    sequence.record_outcome(error, has_successor=True)
    steps = [sequence.step]
    sequence.record_outcome(BrokenResponse("broken"), has_successor=False)
    steps.append(sequence.step)
    sequence.stop(wait_s=2.0)
    assert [*steps, sequence.step] == [SendStep.RELAY, SendStep.CHECK, SendStep.DONE]
    assert (sequence.fallback, sequence.wait_s) == (error, 2.0)


def test_steps_out_of_order_are_errors() -> None:
    """Guards against a send without a check, which could run a request twice."""
    sequence = SendSequence()
    for call in (sequence.record_chosen, sequence.record_sent, sequence.record_unreachable):
        with pytest.raises(ValueError, match="step"):
            call()
    _advance_to_connect(sequence)
    with pytest.raises(ValueError, match="wait"):
        sequence.record_waited()


@given(st.lists(st.sampled_from(["unreachable", "broken", "refused", "wait"]), max_size=30))
def test_every_send_was_checked(events: list[str]) -> None:
    """Guards against a way back to a server that bypasses the checks of a retry."""
    sequence, unreachable = SendSequence(), 0
    for event in events:
        if sequence.step is SendStep.DONE:
            break
        assert sequence.step is SendStep.CHECK
        sequence.allow_send()
        if event == "wait":
            sequence.record_waited()
            continue
        sequence.record_chosen()
        if event == "unreachable":
            unreachable += 1
            sequence.record_unreachable()
            continue
        sequence.record_sent()
        outcome = BrokenResponse("cut") if event == "broken" else NotRunResponse(503)
        sequence.record_outcome(outcome, has_successor=False)
    assert (sequence.step is SendStep.DONE) == (unreachable >= MAX_CONNECT_FAILURES)
    if sequence.step is SendStep.CHECK:
        _advance_to_connect(sequence)
        sequence.record_sent()
        sequence.record_outcome(DeliveredResponse(200), has_successor=False)
        assert sequence.delivered == DeliveredResponse(200)
