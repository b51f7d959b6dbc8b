"""Tests of a router's view of configuration, routers and loads."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st
from tests.router.gateway.builders import make_config
from tests.router.gateway.builders import make_state

from cornellead.gateway.view import FleetLoad
from cornellead.gateway.view import FleetView
from cornellead.gateway.view import RouterLoad
from cornellead_core.routing import ReportedLoad
from cornellead_core.routing import RouterLocation


@given(st.lists(st.integers(1, 50), min_size=1))
def test_configuration_version_never_decreases(versions: list[int]) -> None:
    """Guards against a rollback when an older version is read again after the store dropped its
    history."""
    view = FleetView(router="r1")
    for index, version in enumerate(versions):
        view.activate_config(make_config(version))
        assert view.config is not None
        assert view.config.version == max(versions[: index + 1])


def test_router_without_announcements_expires() -> None:
    """Guards against shares of limits that stay assigned to routers that have ended."""
    view = FleetView(router="r1")
    view.apply_announcement("r2", RouterLocation("10.0.0.2:7000", "dc-a"), now=0.0)
    view.apply_announcement("r3", RouterLocation("10.0.0.3:7000", "dc-a"), now=15.0)
    assert view.routers(now=15.0) == ["r1", "r2", "r3"]
    assert view.routers(now=25.0) == ["r1", "r3"]
    view.apply_announcement("r3", None, now=26.0)
    assert view.peers(now=26.0) == {}


def test_router_that_responds_keeps_its_location() -> None:
    """Guards against routers that lose their reader because an unchanged announcement is not
    relayed to them."""
    view = FleetView(router="r1")
    reader = RouterLocation("10.0.0.2:7000", "dc-a", 100.0)
    reporting = RouterLocation("10.0.0.3:7000", "dc-a", 5.0)
    view.apply_announcement("r2", reader, now=0.0)
    view.apply_announcement("r3", reporting, now=0.0)
    view.renew_router("r2", now=15.0)
    view.add_reporting_router("r3", reporting._replace(data_centre=""), now=15.0)
    view.renew_router("r4", now=15.0)
    assert view.peers(now=25.0) == {"r2": reader, "r3": reporting}
    assert view.peers(now=40.0) == {}


def test_load_of_routers_without_reports_is_estimated() -> None:
    """Guards against a load bound that omits most of the load because few reports arrive."""
    load = FleetLoad()
    load.record_report(RouterLoad("r2", {1: 4}), now=0.0)
    load.record_report(RouterLoad("r3", {}), now=0.0)
    assert load.estimate_others(1, routers=5, now=0.1) == 8.0
    load.evict_expired(now=2.0)
    assert load.estimate_others(1, routers=5, now=2.0) is None


def test_own_load_is_extrapolated_without_reports() -> None:
    """Guards against a router that underestimates the load a hundredfold when it receives no
    reports."""
    state = make_state(in_flight=3)
    assert state.load(FleetLoad(), routers=5, now=0.0) == 15.0


def test_fresh_load_of_server_takes_precedence_over_reports() -> None:
    """Guards against a popular chat that overloads a server between two load reports of the
    routers."""
    state = make_state(in_flight=3)
    load = FleetLoad()
    load.record_report(RouterLoad("r2", {state.name_hash: 4}), now=0.0)
    state.record_reported_load(ReportedLoad(20, 5, 64), now=0.0)
    state.health.start_request(99, now=0.05)
    assert state.load(load, routers=2, now=0.05) == 26.0
    assert state.load(load, routers=2, now=0.3) == 8.0
