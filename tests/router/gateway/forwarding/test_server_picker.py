"""Choice of a server from a given view of the fleet, without a network."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest
from tests.router.gateway.builders import make_config
from tests.router.gateway.builders import make_entry
from tests.router.gateway.policy.test_retry_budgets import BOUNDS

from cornellead.gateway.forwarding import AdmittedRequest
from cornellead.gateway.forwarding import NoServer
from cornellead.gateway.forwarding import ServerPicker
from cornellead.gateway.ingress import CallerRequest
from cornellead.gateway.policy import ColdStartLimiter
from cornellead.gateway.policy import RequestAttempts
from cornellead.gateway.policy import ServerRateLimiter
from cornellead.gateway.view import FleetView
from cornellead.gateway.view import RouterLoad
from cornellead.gateway.view import ServerState
from cornellead_core.routing import ReportedLoad
from cornellead_core.routing import RouterLocation
from cornellead_platform import PlatformHeaders

if TYPE_CHECKING:
    from collections.abc import Callable

SLOTS = 64
STREAM_DURATION_S = 2.0
FleetPicker = tuple[FleetView, "Callable[..., ServerState | NoServer]"]


@pytest.fixture
def fleet() -> FleetPicker:
    """Return the view of a router with two servers, and a function that picks one for a request."""
    view = FleetView(router="r1")
    view.activate_config(make_config())
    for name in ("s1", "s2"):
        view.servers.put(make_entry(name, slots=SLOTS), now=0.0)
    picker = _make_picker(view)

    def pick(*, time_left_s: float, urgency: int = 1) -> ServerState | NoServer:
        return picker.pick(_admitted_request(view, time_left_s, urgency), tried=(), now=0.0)

    return view, pick


def _make_picker(view: FleetView) -> ServerPicker:
    return ServerPicker(
        view=view,
        cold_limiter=ColdStartLimiter(router="r1", burst=5.0),
        rate_limiter=ServerRateLimiter(router="r1"),
        data_centre="dc-a",
        regions={},
        load_factor=BOUNDS.load_factor,
    )


def _admitted_request(view: FleetView, time_left_s: float, urgency: int) -> AdmittedRequest:
    assert view.config is not None
    route = view.config.match("box.example", "/stream/1")
    assert route is not None
    return AdmittedRequest(
        req=CallerRequest(b"POST", b"/stream/1", [], b"", 0.0),
        caller=PlatformHeaders().decode_caller([]),
        route=route,
        service=view.config.services["llm"],
        team="",
        urgency=urgency,
        regions=frozenset(),
        affinity="chat",
        shared_tokens=0,
        parts=(),
        attempts=RequestAttempts(repeatable=False, max_attempts=2, deadline=time_left_s),
        config_version=1,
    )


def _load_servers(view: FleetView, requests: int, *, urgency: int = 1) -> None:
    for name in ("s1", "s2"):
        state = view.servers.get(name)
        assert state is not None
        state.health.record_stream_duration(STREAM_DURATION_S)
        for number in range(requests):
            state.health.start_request(number, now=0.0, urgency=urgency)
        running = min(SLOTS, requests)
        state.record_reported_load(ReportedLoad(running, requests - running, SLOTS), now=0.0)


def test_request_with_too_long_an_expected_wait_is_refused(fleet: FleetPicker) -> None:
    """Guards against a request that waits for a slot until its deadline has passed."""
    view, pick = fleet
    _load_servers(view, 3 * SLOTS)
    picked = pick(time_left_s=5.0)
    assert isinstance(picked, NoServer)
    assert picked.wait_s == pytest.approx(2 * STREAM_DURATION_S, rel=0.05)


def test_request_with_enough_time_left_is_sent(fleet: FleetPicker) -> None:
    """Guards against refusing a request that can wait for a slot and still be served in time."""
    view, pick = fleet
    _load_servers(view, 3 * SLOTS)
    assert isinstance(pick(time_left_s=15.0), ServerState)
    assert isinstance(pick(time_left_s=5.0), NoServer)


def test_expected_wait_grows_with_the_work_factor(fleet: FleetPicker) -> None:
    """Guards against a request that is sent to servers that have become too slow to serve it."""
    view, pick = fleet
    _load_servers(view, 3 * SLOTS)
    for name in ("s1", "s2"):
        state = view.servers.get(name)
        assert state is not None
        state.work.record(1.0, now=-10.0)
        state.work.record(3.0, now=0.0)
    picked = pick(time_left_s=15.0)
    assert isinstance(picked, NoServer) and picked.wait_s is not None
    assert picked.wait_s > 8.0


def test_less_urgent_requests_do_not_count_as_wait(fleet: FleetPicker) -> None:
    """Guards against refusing an urgent request because less urgent ones are queued."""
    view, pick = fleet
    _load_servers(view, 3 * SLOTS, urgency=2)
    assert isinstance(pick(time_left_s=5.0, urgency=1), ServerState)
    assert isinstance(pick(time_left_s=5.0, urgency=2), NoServer)


def test_request_is_sent_while_slots_are_free(fleet: FleetPicker) -> None:
    """Guards against a refusal while servers have free slots."""
    view, pick = fleet
    _load_servers(view, SLOTS - 1)
    assert isinstance(pick(time_left_s=0.5), ServerState)


def test_estimate_from_router_reports_does_not_refuse(fleet: FleetPicker) -> None:
    """Guards against a refusal while slots are free, caused by a load estimate that extrapolates
    from the reports of a few busy routers to all."""
    view, pick = fleet
    for number in range(300):
        view.apply_announcement(f"r{number}", RouterLocation("10.0.0.1:1", "dc-a"), now=0.0)
    for name in ("s1", "s2"):
        state = view.servers.get(name)
        assert state is not None
        state.health.record_stream_duration(STREAM_DURATION_S)
        view.load.record_report(RouterLoad("r2", {state.name_hash: 3}), now=0.0)
        assert state.load(view.load, routers=300, now=0.0) > 10 * SLOTS
    assert isinstance(pick(time_left_s=3.0), ServerState)


def test_prompt_that_fits_no_server_counts_for_nothing(fleet: FleetPicker) -> None:
    """Guards against a caller whose token count makes a server seem full and its prefill endless:
    a server rejects such a prompt at once."""
    view, _ = fleet
    admitted = _admitted_request(view, 5.0, 1)
    capacity = 600_000
    service = admitted.service._replace(kv_capacity_tokens=capacity)
    picker = _make_picker(view)
    state = view.servers.states()[0]
    for number, tokens in enumerate((10**18 - 1, capacity)):
        caller = admitted.caller._replace(prompt_tokens=tokens)
        request = admitted._replace(caller=caller, service=service)
        picker.start_prompt(request, state, number, now=0.0)
    assert state.prompts.held_tokens == state.prompts.own_pending_tokens == capacity
