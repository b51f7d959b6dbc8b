"""When refused callers come back."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from cornellead.gateway.policy import outage_wait_s
from cornellead.gateway.policy import retry_after_s


@given(st.text(max_size=40), st.floats(0.0, 60.0), st.floats(0.2, 60.0))
def test_refused_callers_come_back_in_time(request: str, wait_s: float, left_s: float) -> None:
    """Guards against a caller that is told to come back after its deadline."""
    back_s = retry_after_s(wait_s=wait_s, time_left_s=left_s, request_id=request)
    assert 0.05 <= back_s <= max(0.05, left_s / 3.0)
    assert back_s <= max(0.05, 2.0 * wait_s)


def test_refused_callers_come_back_spread() -> None:
    """Guards against a second surge of all callers that were refused at the same moment."""
    backs = [
        retry_after_s(wait_s=0.4, time_left_s=9.0, request_id=f"r{number}") for number in range(400)
    ]
    assert 0.4 <= min(backs) < 0.45
    assert 0.75 < max(backs) <= 0.8


@given(st.floats(0.0, 600.0))
def test_callers_return_after_the_expected_end_of_an_outage(outage_s: float) -> None:
    """Guards against callers that spend their only retry while the store is still out."""
    assert outage_wait_s(outage_s) >= max(2.0, outage_s)
