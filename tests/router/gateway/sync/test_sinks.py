"""What notices of known age change in the beliefs of a router."""

from __future__ import annotations

from tests.router.gateway.builders import make_config
from tests.router.gateway.builders import make_entry

from cornellead.gateway.beliefs import FleetView
from cornellead.gateway.stats import GatewayStats
from cornellead.gateway.sync import OperatorSink
from cornellead.gateway.sync import ServerSink
from cornellead_core.metrics import Metrics
from cornellead_core.routing import NoticeBatch
from cornellead_core.routing import RoutingNotice
from cornellead_core.routing import ServerNotice

NOW = 100.0


def _operator(view: FleetView) -> OperatorSink:
    return OperatorSink(view=view, stats=GatewayStats(metrics=Metrics()), clock=lambda: NOW)


def _servers(view: FleetView) -> ServerSink:
    return ServerSink(
        view=view,
        stats=GatewayStats(metrics=Metrics()),
        clock=lambda: NOW,
        on_ended=lambda state: None,
    )


def test_configuration_of_another_router_keeps_its_age() -> None:
    """Guards against rejecting unknown keys for good by a configuration that nobody confirmed."""
    view = FleetView(router="r1")
    notice = RoutingNotice(make_config().data, "")
    _operator(view).take_all(NoticeBatch([notice], 5, age_s=7.0))
    assert view.config is not None
    assert view.config_age_s(now=NOW) == 7.0


def test_old_notices_do_not_end_an_outage() -> None:
    """Guards against trusting removals, or ending the outage, by what another router remembers."""
    view = FleetView(router="r1")
    operator, servers = _operator(view), _servers(view)
    operator.lose()
    servers.lose()
    entry = ServerNotice("s1", make_entry("s1"), removed=False)
    servers.take_all(NoticeBatch([entry], 5, age_s=7.0))
    operator.take_all(NoticeBatch([], 5, age_s=7.0))
    assert view.servers_known
    assert view.outage_s(now=NOW + 3.0) == 3.0
    servers.take(NoticeBatch([ServerNotice("s1", None, removed=True)], 6, age_s=7.0))
    assert [state.entry.server for state in view.servers.usable("llm")] == ["s1"]


def test_outage_lasts_until_every_topic_is_read() -> None:
    """Guards against an outage of one partition that counts as none."""
    view = FleetView(router="r1")
    operator, servers = _operator(view), _servers(view)
    assert view.outage_s(now=NOW) is None
    operator.lose()
    servers.lose()
    operator.take(NoticeBatch([], 5))
    assert view.outage_s(now=NOW + 1.0) == 1.0
    servers.take(NoticeBatch([], 5))
    assert view.outage_s(now=NOW + 1.0) is None
