"""Rate limits of servers as routers tell them to each other."""

from __future__ import annotations

import random

import msgspec
import pytest
from tests.router.gateway.builders import make_config
from tests.router.gateway.builders import make_entry

from cornellead.gateway.view import FleetView
from cornellead.gateway.view import RateLimitReport

MAX_RECIPIENTS = 8
TICK_S = 0.2


def make_views(routers: int, *, servers: int = 3) -> list[FleetView]:
    """Return the views of routers before the same servers."""
    views = []
    for number in range(routers):
        view = FleetView(router=f"r{number}")
        view.activate_config(make_config())
        for server in range(servers):
            view.servers.put(make_entry(f"s{server}"), now=0.0)
        views.append(view)
    return views


def respond(view: FleetView, server: str, per_s: float | None, *, now: float) -> None:
    """Record a response of a server at a router."""
    state = view.servers.get(server)
    assert state is not None
    view.rate_limits.record_response(state, per_s, now=now)


def limit_of(view: FleetView, server: str) -> float | None:
    """Return the limit that a router knows."""
    state = view.servers.get(server)
    assert state is not None
    return None if state.rate_limit is None else state.rate_limit.per_s


def spread(views: list[FleetView], *, now: float, rounds: int) -> None:
    """Let each router send its messages to a few random others."""
    rng = random.Random(1)
    for step in range(rounds):
        at = now + step * TICK_S
        for view in views:
            report = view.rate_limits.make_report(now=at)
            if report is None:
                continue
            data = msgspec.msgpack.encode(report)
            others = [other for other in views if other is not view]
            for other in rng.sample(others, min(MAX_RECIPIENTS, len(others))):
                decoded = msgspec.msgpack.decode(data, type=RateLimitReport)
                other.rate_limits.apply_report(decoded, now=at)


@pytest.mark.parametrize("routers", [2, 5, 25, 330])
def test_all_routers_know_a_limit_soon(routers: int) -> None:
    """Guards against routers that send as before, since they got no response of the server."""
    views = make_views(routers)
    respond(views[0], "s1", 2.0, now=1.0)
    spread(views, now=1.0, rounds=6)
    assert {limit_of(view, "s1") for view in views} == {2.0}
    assert {limit_of(view, "s0") for view in views} == {None}


@pytest.mark.parametrize("later", [0.5, None])
def test_later_response_changes_or_lifts_the_limit_everywhere(later: float | None) -> None:
    """Guards against a limit that stays after the server has changed or lifted it."""
    views = make_views(25)
    respond(views[0], "s1", 2.0, now=1.0)
    spread(views, now=1.0, rounds=6)
    respond(views[3], "s1", later, now=5.0)
    spread(views, now=5.0, rounds=30)
    assert {limit_of(view, "s1") for view in views} == {later}


def test_restarted_router_learns_limits_from_the_others() -> None:
    """Guards against a restarted router that sends without a limit until it gets a response."""
    views = make_views(5)
    respond(views[0], "s1", 2.0, now=1.0)
    spread(views, now=1.0, rounds=6)
    views[4] = make_views(1)[0]
    spread(views, now=9.0, rounds=8)
    assert limit_of(views[4], "s1") == 2.0


def test_limit_ends_with_the_server_that_named_it() -> None:
    """Guards against a restarted server that keeps the limit of its earlier incarnation."""
    views = make_views(2)
    respond(views[0], "s1", 2.0, now=1.0)
    report = views[0].rate_limits.make_report(now=1.2)
    assert report is not None
    for view in views:
        view.servers.put(make_entry("s1", started_ms=99), now=3.0)
    views[1].rate_limits.apply_report(
        report._replace(limits=[item._replace(age_s=2.5) for item in report.limits]), now=3.5
    )
    assert [limit_of(view, "s1") for view in views] == [None, None]


def test_message_is_bounded_with_many_limited_servers() -> None:
    """Guards against control traffic that grows with the number of limited servers."""
    view = make_views(1, servers=1000)[0]
    for number in range(1000):
        respond(view, f"s{number}", 2.0, now=1.0)
    report = view.rate_limits.make_report(now=1.0)
    assert report is not None
    assert len(msgspec.msgpack.encode(report)) < 512
