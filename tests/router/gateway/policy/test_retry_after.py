"""Tests of the delay after which rejected callers retry."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from cornellead.gateway.policy import expected_outage_s
from cornellead.gateway.policy import retry_after_s


@given(st.text(max_size=40), st.floats(0.0, 60.0), st.floats(0.2, 60.0))
def test_retry_delay_ends_before_the_deadline(
    request: str, wait_s: float, time_left_s: float
) -> None:
    """Guards against a delay that ends after the caller's deadline."""
    delay_s = retry_after_s(wait_s=wait_s, time_left_s=time_left_s, request_id=request)
    assert 0.05 <= delay_s <= max(0.05, time_left_s / 3.0)
    assert delay_s <= max(0.05, 2.0 * wait_s)


def test_retry_delays_are_spread() -> None:
    """Guards against a second overload when callers rejected at the same moment retry together."""
    delays_s = [
        retry_after_s(wait_s=0.4, time_left_s=9.0, request_id=f"r{number}") for number in range(400)
    ]
    assert 0.4 <= min(delays_s) < 0.45
    assert 0.75 < max(delays_s) <= 0.8


@given(st.floats(0.0, 600.0))
def test_expected_outage_lasts_as_long_again(outage_s: float) -> None:
    """Guards against callers that use their only retry while the store is still unavailable."""
    assert expected_outage_s(outage_s) >= max(2.0, outage_s)
