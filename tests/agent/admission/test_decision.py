"""Admission decisions and their limits."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from cornellead_agent.admission import AdmissionRequest
from cornellead_agent.admission import AdmissionView
from cornellead_agent.admission import decide_admission
from cornellead_core.load import ServerState
from cornellead_core.load import admission_limit

VIEW = AdmissionView(
    state=ServerState.SERVING,
    config_offset=5,
    in_flight=0,
    bound=1.25,
    rho=0.5,
    capacity=16,
    cold_limit=16,
)
REQUEST = AdmissionRequest(config_offset=5)


@pytest.mark.parametrize(
    ("request_", "view", "reason"),
    [
        (REQUEST, VIEW._replace(state=ServerState.DRAINING), "draining"),
        (REQUEST, VIEW._replace(state=ServerState.OUT_OF_SERVICE), "out_of_service"),
        (REQUEST, VIEW._replace(state=ServerState.DOWN), "server_down"),
        (REQUEST._replace(config_offset=6), VIEW, "stale_config"),
        (REQUEST._replace(deadline_at=10.0), VIEW, "deadline"),
        (REQUEST._replace(returning=True), VIEW._replace(no_cache=True), "no_cache"),
        (REQUEST, VIEW._replace(hint="b"), "moved"),
        (REQUEST, VIEW._replace(in_flight=10), "over_bound"),
        (REQUEST, VIEW._replace(in_flight=2, cold_limit=2), "cold"),
        (REQUEST._replace(batch=True), VIEW._replace(in_flight=8), "over_bound"),
        (REQUEST, VIEW._replace(bound=None, in_flight=16), "over_bound"),
    ],
)
def test_request_is_refused_with_reason(
    request_: AdmissionRequest, view: AdmissionView, reason: str
) -> None:
    """Guards against admitting a request that the server's state or limits forbid."""
    refusal = decide_admission(request_, view, now=10.0)
    assert refusal is not None
    assert refusal.reason == reason


@pytest.mark.parametrize(
    ("request_", "view"),
    [
        (REQUEST, VIEW._replace(in_flight=9)),
        (REQUEST._replace(batch=True), VIEW._replace(in_flight=7)),
        (REQUEST._replace(returning=True, adopt=True), VIEW._replace(no_cache=True, hint="b")),
        (REQUEST, VIEW._replace(no_cache=True)),
        (REQUEST._replace(batch=True), VIEW._replace(rho=0.0, cold_limit=1)),
        (REQUEST._replace(config_offset=4), VIEW),
    ],
)
def test_request_within_the_limits_is_admitted(
    request_: AdmissionRequest, view: AdmissionView
) -> None:
    """Guards against refusing a request that no rule forbids."""
    assert decide_admission(request_, view, now=10.0) is None


@settings(derandomize=True, deadline=None)
@given(
    rho=st.floats(0, 4),
    in_flight=st.integers(0, 80),
    capacity=st.integers(1, 64),
    cold=st.integers(1, 64),
    batch=st.booleans(),
    fallback=st.booleans(),
)
def test_no_admission_exceeds_any_limit(
    rho: float, in_flight: int, capacity: int, cold: int, batch: bool, fallback: bool
) -> None:
    """Guards against one limit overriding a stricter one."""
    view = VIEW._replace(rho=rho, in_flight=in_flight, capacity=capacity, cold_limit=cold)
    if decide_admission(AdmissionRequest(batch=batch, fallback=fallback), view, now=0.0) is None:
        bound = admission_limit(multiple=1.25, capacity=capacity, rho=rho)
        assert in_flight + 1 <= min(bound, capacity, cold)
