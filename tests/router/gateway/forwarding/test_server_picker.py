"""Choice of a server from beliefs, without a network."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest
from tests.router.gateway.builders import make_config
from tests.router.gateway.builders import make_entry
from tests.router.gateway.policy.test_retry_share import BOUNDS

from cornellead.gateway.beliefs import FleetView
from cornellead.gateway.beliefs import RouterLoad
from cornellead.gateway.beliefs import ServerState
from cornellead.gateway.forwarding import Job
from cornellead.gateway.forwarding import NoServer
from cornellead.gateway.forwarding import ServerPicker
from cornellead.gateway.ingress import CallerRequest
from cornellead.gateway.policy import ColdGate
from cornellead.gateway.policy import RequestRights
from cornellead_core.routing import ReportedLoad
from cornellead_core.routing import RouterPlace
from cornellead_platform import PlatformHeaders

if TYPE_CHECKING:
    from collections.abc import Callable

SLOTS = 64
HOLD_S = 2.0
Pick = tuple[FleetView, "Callable[..., ServerState | NoServer]"]


@pytest.fixture
def fleet() -> Pick:
    """Return the beliefs of a router with two servers, and its choice for a request."""
    view = FleetView(router="r1")
    view.take_config(make_config())
    for name in ("s1", "s2"):
        view.servers.put(make_entry(name, slots=SLOTS), now=0.0)
    picker = ServerPicker(
        view=view,
        gate=ColdGate(router="r1", slack=5.0),
        data_centre="dc-a",
        regions={},
        load_factor=BOUNDS.load_factor,
    )

    def pick(*, time_left_s: float, urgency: int = 1) -> ServerState | NoServer:
        return picker.pick(_job(view, time_left_s, urgency), tried=(), now=0.0)

    return view, pick


def _job(view: FleetView, time_left_s: float, urgency: int) -> Job:
    assert view.config is not None
    route = view.config.match("box.example", "/stream/1")
    assert route is not None
    return Job(
        req=CallerRequest(b"POST", b"/stream/1", [], b"", 0.0),
        caller=PlatformHeaders().decode_caller([]),
        route=route,
        service=view.config.services["llm"],
        team="",
        urgency=urgency,
        regions=frozenset(),
        affinity="chat",
        shared_tokens=0,
        rights=RequestRights(repeatable=False, max_attempts=2, deadline=time_left_s),
        config_version=1,
    )


def _fill(view: FleetView, requests: int, *, urgency: int = 1) -> None:
    for name in ("s1", "s2"):
        state = view.servers.get(name)
        assert state is not None
        state.health.count_hold(HOLD_S)
        for number in range(requests):
            state.health.open(number, now=0.0, urgency=urgency)
        running = min(SLOTS, requests)
        state.report_load(ReportedLoad(running, requests - running, SLOTS), now=0.0)


def test_request_that_would_wait_too_long_is_refused(fleet: Pick) -> None:
    """Guards against a caller that waits for a place until its deadline has passed."""
    view, pick = fleet
    _fill(view, 3 * SLOTS)
    picked = pick(time_left_s=5.0)
    assert isinstance(picked, NoServer)
    assert picked.wait_s == pytest.approx(2 * HOLD_S, rel=0.05)


def test_request_with_time_left_waits(fleet: Pick) -> None:
    """Guards against refusing what can still be served."""
    view, pick = fleet
    _fill(view, 3 * SLOTS)
    assert isinstance(pick(time_left_s=15.0), ServerState)
    assert isinstance(pick(time_left_s=5.0), NoServer)


def test_urgent_request_passes_waiting_ones(fleet: Pick) -> None:
    """Guards against refusing an urgent request because of less urgent ones that wait."""
    view, pick = fleet
    _fill(view, 3 * SLOTS, urgency=2)
    assert isinstance(pick(time_left_s=5.0, urgency=1), ServerState)
    assert isinstance(pick(time_left_s=5.0, urgency=2), NoServer)


def test_free_places_are_used(fleet: Pick) -> None:
    """Guards against a refusal while servers have places."""
    view, pick = fleet
    _fill(view, SLOTS - 1)
    assert isinstance(pick(time_left_s=0.5), ServerState)


def test_estimate_from_other_routers_is_no_reason_to_refuse(fleet: Pick) -> None:
    """Guards against a refusal while places are free: a few busy routers are taken for all."""
    view, pick = fleet
    for number in range(300):
        view.see_router(f"r{number}", RouterPlace("10.0.0.1:1", "dc-a"), now=0.0)
    for name in ("s1", "s2"):
        state = view.servers.get(name)
        assert state is not None
        state.health.count_hold(HOLD_S)
        view.load.take(RouterLoad("r2", {state.name_hash: 3}), now=0.0)
        assert state.load(view.load, routers=300, now=0.0) > 10 * SLOTS
    assert isinstance(pick(time_left_s=3.0), ServerState)
