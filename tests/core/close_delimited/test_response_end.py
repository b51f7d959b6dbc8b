"""Judgement of responses that ended with their connection."""

from __future__ import annotations

import pytest

from cornellead_core.close_delimited import ListenerState
from cornellead_core.close_delimited import ResponseEnd
from cornellead_core.close_delimited import judge_end


@pytest.mark.parametrize("leaving", [False, True])
@pytest.mark.parametrize("broke_others", [False, True])
def test_response_of_a_listening_server_is_whole(leaving: bool, broke_others: bool) -> None:
    """Guards against a sound answer that is cut since another connection was reset."""
    end = judge_end(ListenerState.LISTENING, leaving=leaving, broke_others=broke_others)
    assert end is ResponseEnd.WHOLE


@pytest.mark.parametrize("leaving", [False, True])
@pytest.mark.parametrize("broke_others", [False, True])
def test_response_is_not_cut_without_proof(leaving: bool, broke_others: bool) -> None:
    """Guards against a sound answer that is cut since the server could not be asked."""
    end = judge_end(ListenerState.UNKNOWN, leaving=leaving, broke_others=broke_others)
    assert end is ResponseEnd.UNPROVEN


@pytest.mark.parametrize(
    ("leaving", "broke_others", "end"),
    [
        (False, False, ResponseEnd.CUT),
        (False, True, ResponseEnd.CUT),
        (True, True, ResponseEnd.CUT),
        (True, False, ResponseEnd.UNPROVEN),
    ],
)
def test_response_of_an_ended_server_is_cut_unless_it_was_leaving(
    leaving: bool, broke_others: bool, end: ResponseEnd
) -> None:
    """Guards against a killed server whose answer looks whole, and against a leaving one whose last
    answer is cut."""
    judged = judge_end(ListenerState.CLOSED, leaving=leaving, broke_others=broke_others)
    assert judged is end
