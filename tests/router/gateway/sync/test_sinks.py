"""Tests of the effect of current and old notices on a router's view of the fleet."""

from __future__ import annotations

import pytest
import structlog
from tests.router.gateway.builders import make_config
from tests.router.gateway.builders import make_entry

from cornellead.gateway.stats import GatewayStats
from cornellead.gateway.sync import ContainedSink
from cornellead.gateway.sync import OperatorSink
from cornellead.gateway.sync import ReportingSink
from cornellead.gateway.sync import RouterSink
from cornellead.gateway.sync import ServerSink
from cornellead.gateway.view import FleetView
from cornellead.gateway.view._store_history import MAX_BEHIND_S
from cornellead.gateway.view._store_history import SETTLE_S
from cornellead_core.metrics import Metrics
from cornellead_core.routing import DataCentreNotice
from cornellead_core.routing import Notice
from cornellead_core.routing import NoticeBatch
from cornellead_core.routing import QuarantineMark
from cornellead_core.routing import QuarantineNotice
from cornellead_core.routing import ReadStats
from cornellead_core.routing import RoutingNotice
from cornellead_core.routing import ServerNotice
from cornellead_core.routing import Topic
from cornellead_core.routing import UnreadableRecord

NOW = 100.0


def _operator_sink(view: FleetView) -> OperatorSink:
    return OperatorSink(view=view, stats=GatewayStats(metrics=Metrics()), clock=lambda: NOW)


def _server_sink(view: FleetView) -> ServerSink:
    return ServerSink(
        view=view,
        stats=GatewayStats(metrics=Metrics()),
        clock=lambda: NOW,
        on_ended=lambda state: None,
    )


def test_relayed_configuration_keeps_its_age() -> None:
    """Guards against permanently rejecting unknown keys because of a configuration that the store
    did not confirm recently."""
    view = FleetView(router="r1")
    notice = RoutingNotice(make_config().data, "")
    _operator_sink(view).apply_snapshot(NoticeBatch([notice], 5, age_s=7.0))
    assert view.config is not None
    assert view.config_age_s(now=NOW) == 7.0


def test_old_notices_do_not_end_an_outage() -> None:
    """Guards against removing servers or ending an outage because of old notices from another
    router."""
    view = FleetView(router="r1")
    operator_sink, server_sink = _operator_sink(view), _server_sink(view)
    operator_sink.mark_unavailable()
    server_sink.mark_unavailable()
    entry = ServerNotice("s1", make_entry("s1"), removed=False)
    server_sink.apply_snapshot(NoticeBatch([entry], 5, age_s=7.0))
    operator_sink.apply_snapshot(NoticeBatch([], 5, age_s=7.0))
    assert view.servers_loaded
    assert view.outage_s(now=NOW + 3.0) == 3.0
    server_sink.apply_changes(NoticeBatch([ServerNotice("s1", None, removed=True)], 6, age_s=7.0))
    assert [state.entry.server for state in view.servers.usable("llm")] == ["s1"]


def test_outage_lasts_until_every_topic_is_readable() -> None:
    """Guards against ignoring an outage that affects only one partition of the store."""
    view = FleetView(router="r1")
    operator_sink, server_sink = _operator_sink(view), _server_sink(view)
    assert view.outage_s(now=NOW) is None
    operator_sink.mark_unavailable()
    server_sink.mark_unavailable()
    operator_sink.apply_changes(NoticeBatch([], 5))
    assert view.outage_s(now=NOW + 1.0) == 1.0
    server_sink.apply_changes(NoticeBatch([], 5))
    assert view.outage_s(now=NOW + 1.0) is None


def test_read_of_a_configuration_is_logged() -> None:
    """Guards against logs that do not tell what a late configuration waited for."""
    read = ReadStats("r2", 500, wait_s=0.2, transfer_s=0.7, decode_s=0.05)
    notice = RoutingNotice(make_config(version=4).data, "")
    with structlog.testing.capture_logs() as lines:
        _operator_sink(FleetView(router="r1")).apply_changes(
            NoticeBatch([notice], 5, records_left=3, read=read)
        )
    read_line, active_line = lines
    assert (read_line["source"], read_line["configs"], read_line["body_bytes"]) == ("r2", [4], 500)
    assert (read_line["wait_ms"], read_line["transfer_ms"], read_line["decode_ms"]) == (
        200,
        700,
        50,
    )
    assert read_line["records_left"] == 3
    assert (active_line["config"], active_line["routes"]) == (4, 4)


def test_unreadable_record_is_logged_once_and_counted_each_time() -> None:
    """Guards against an odd entry that nobody can find, and against a line at each heartbeat."""
    metrics = Metrics()
    stats = GatewayStats(metrics=metrics)
    sink = ReportingSink(
        topic=Topic.SERVERS, sink=_server_sink(FleetView(router="r1")), stats=stats
    )
    batch = NoticeBatch([], 5, unreadable=(UnreadableRecord("s1", "FieldError: slots"),))
    with structlog.testing.capture_logs() as lines:
        sink.apply_snapshot(batch)
        sink.apply_changes(batch)
    assert [(line["event"], line["topic"], line["key"], line["reason"]) for line in lines] == [
        ("record unreadable", "servers", "s1", "FieldError: slots")
    ]
    assert 'gateway_unreadable_records_total{topic="servers"} 2.0' in metrics.render().decode()


@pytest.mark.parametrize("poisoned", ["odd\udc00", "s2"], ids=["surrogate", "raises"])
def test_notice_that_cannot_be_applied_does_not_hold_back_the_others(poisoned: str) -> None:
    """Guards against a reader that stops at one notice, again after each restart."""
    view = FleetView(router="r1")
    stats = GatewayStats(metrics=Metrics())

    class PoisonedSink(ServerSink):
        def apply_changes(self, batch: NoticeBatch) -> None:
            super().apply_changes(batch)
            self._raise_if_poisoned(batch)

        def apply_snapshot(self, batch: NoticeBatch) -> None:
            self._raise_if_poisoned(batch)
            super().apply_snapshot(batch)

        def _raise_if_poisoned(self, batch: NoticeBatch) -> None:
            if any(n.server == "s2" for n in batch.notices if isinstance(n, ServerNotice)):
                raise ValueError("poisoned")

    sink = ContainedSink(
        topic=Topic.SERVERS,
        sink=PoisonedSink(view=view, stats=stats, clock=lambda: NOW, on_ended=lambda state: None),
        stats=stats,
    )
    names = ["s1", poisoned, "s3"]
    notices = [
        ServerNotice(name, make_entry(name, address=f"10.0.0.{number}:80"), removed=False)
        for number, name in enumerate(names)
    ]
    sink.apply_snapshot(NoticeBatch([*notices], 5))
    gone = ServerNotice("s1", None, removed=True)
    sink.apply_changes(NoticeBatch([notices[1], gone], 7))
    assert view.servers_loaded and view.servers.get("s1") is None
    assert view.servers.get("s3") is not None


def test_configuration_of_another_router_that_cannot_be_applied_is_left_out() -> None:
    """Guards against a router that starts and serves nobody, since what another one has in force
    cannot be applied."""
    view, stats = FleetView(router="r1"), GatewayStats(metrics=Metrics())

    class PoisonedSink(OperatorSink):
        def _apply_config(self, notice: RoutingNotice) -> None:
            if notice.data is not None and notice.data.version == 7:
                raise ValueError("poisoned")
            super()._apply_config(notice)

    sink = ContainedSink(
        topic=Topic.OPERATOR,
        sink=PoisonedSink(view=view, stats=stats, clock=lambda: NOW),
        stats=stats,
    )
    stored: list[Notice] = [RoutingNotice(make_config(4).data, "")]
    poisoned = RoutingNotice(make_config(7).data, "")
    sink.apply_snapshot(NoticeBatch(stored, 3, not_stored=(poisoned,)))
    assert view.config is not None and view.config.version == 4


def _contained_server_sink(view: FleetView, stats: GatewayStats) -> ContainedSink:
    class SnapshotFailingSink(ServerSink):
        def apply_snapshot(self, batch: NoticeBatch) -> None:
            raise ValueError("poisoned")

    sink = SnapshotFailingSink(
        view=view, stats=stats, clock=lambda: NOW, on_ended=lambda state: None
    )
    return ContainedSink(topic=Topic.SERVERS, sink=sink, stats=stats)


def test_snapshot_that_fails_as_a_whole_keeps_what_was_applied_one_by_one() -> None:
    """Guards against a reader that reads the whole topic again and again and never gets on."""
    view = FleetView(router="r1")
    metrics = Metrics()
    stats = GatewayStats(metrics=metrics)
    sink = _contained_server_sink(view, stats)
    entry = ServerNotice("s1", make_entry("s1"), removed=False)
    with structlog.testing.capture_logs() as lines:
        sink.apply_snapshot(NoticeBatch([entry], 5))
    assert view.servers_loaded and view.servers.get("s1") is not None
    assert [line["event"] for line in lines if line["log_level"] == "error"] == [
        "notices not applied",
        "snapshot not applied",
    ]
    assert (
        'gateway_belief_changes_total{belief="snapshot_not_applied"} 1.0'
        in metrics.render().decode()
    )
    sink.apply_changes(NoticeBatch([ServerNotice("s2", make_entry("s2"), removed=False)], 6))
    assert view.servers.get("s2") is not None


@pytest.mark.parametrize("snapshot", [True, False])
def test_server_that_ends_in_a_batch_that_is_applied_twice_is_reported_once(
    snapshot: bool,
) -> None:
    """Guards against one end of a server that counts as two crashes of its prompts."""
    view = FleetView(router="r1")
    stats = GatewayStats(metrics=Metrics())
    # Only entries of configured services claim an address.
    view.activate_config(make_config())
    ended: list[tuple[str, int]] = []

    class LateFailingSink(ServerSink):
        failures = 1

        def apply_changes(self, batch: NoticeBatch) -> None:
            super().apply_changes(batch)
            if self.failures and not snapshot:
                self.failures -= 1
                raise ValueError("poisoned")

        def apply_snapshot(self, batch: NoticeBatch) -> None:
            super().apply_snapshot(batch)
            if self.failures:
                self.failures -= 1
                raise ValueError("poisoned")

    sink = LateFailingSink(
        view=view,
        stats=stats,
        clock=lambda: NOW,
        on_ended=lambda state: ended.append((state.entry.server, state.entry.started_ms)),
    )
    names = {"s1": "10.0.0.1:80", "s2": "10.0.0.2:80", "s3": "10.0.0.3:80"}
    first = {name: make_entry(name, address=at, started_ms=1) for name, at in names.items()}
    ServerSink.apply_snapshot(
        _server_sink(view),
        NoticeBatch([ServerNotice(name, first[name], removed=False) for name in names], 5),
    )
    again = first["s1"]._replace(started_ms=2)
    taken = make_entry("s4", address="10.0.0.3:80", started_ms=2)
    batch = NoticeBatch(
        [
            ServerNotice("s1", again, removed=False),
            ServerNotice("s3", first["s3"], removed=False),
            ServerNotice("s4", taken, removed=False),
            ServerNotice("s2", None, removed=True),
        ],
        9,
    )
    contained = ContainedSink(topic=Topic.SERVERS, sink=sink, stats=stats)
    (contained.apply_snapshot if snapshot else contained.apply_changes)(batch)
    assert sorted(ended) == [("s1", 1), ("s2", 1), ("s3", 1)]
    assert [view.servers.get(name) is None for name in ("s1", "s2", "s3", "s4")] == [
        False,
        True,
        True,
        False,
    ]


def test_quarantine_that_is_applied_twice_is_learned_once() -> None:
    """Guards against a quarantine that grows when its batch is applied notice by notice."""
    view = FleetView(router="r1")
    sink = RouterSink(view=view, clock=lambda: NOW, wall_clock=lambda: NOW)
    batch = NoticeBatch([QuarantineNotice("p1", QuarantineMark(2, 3, int(NOW * 1000)))], 5)
    with structlog.testing.capture_logs() as lines:
        sink.apply_changes(batch)
        held = dict(view.guard._quarantined)
        sink.apply_changes(batch)
        sink.apply_snapshot(batch)
    assert [line["event"] for line in lines].count("quarantine learned") == 1
    assert held and view.guard._quarantined == held and set(sink.published) == {"p1"}


def test_copy_without_the_newest_configuration_confirms_nothing() -> None:
    """Guards against status 404 for a route that was added since the copy was made."""
    now = NOW
    view = FleetView(router="r1")
    sink = OperatorSink(view=view, stats=GatewayStats(metrics=Metrics()), clock=lambda: now)
    sink.apply_snapshot(NoticeBatch([RoutingNotice(make_config(7).data, "")], 5, era=1))
    now += 5.0
    sink.apply_snapshot(NoticeBatch([RoutingNotice(make_config(4).data, "")], 3, era=2))
    sink.apply_changes(NoticeBatch([], 3, era=2))
    assert view.config is not None
    assert (view.config.version, view.config_age_s(now=now)) == (7, 5.0)
    sink.apply_snapshot(NoticeBatch([], 0, era=3))
    sink.apply_changes(NoticeBatch([], 0, era=3))
    assert view.config_age_s(now=now) == 5.0
    sink.apply_changes(NoticeBatch([RoutingNotice(make_config(7).data, "")], 1, era=3))
    assert view.config_age_s(now=now) == 0.0


def test_data_centre_taken_out_after_the_copy_stays_out_until_the_store_has_settled() -> None:
    """Guards against requests to a data centre whose removal from service was lost with the copy
    and is about to be written again."""
    now = NOW
    view = FleetView(router="r1")
    sink = OperatorSink(view=view, stats=GatewayStats(metrics=Metrics()), clock=lambda: now)
    out = [DataCentreNotice(name, out=True) for name in ("dc-a", "dc-b", "dc-c")]
    for era in (1, 2):
        view.history.meet(Topic.OPERATOR, era, now=now)
        sink.apply_snapshot(NoticeBatch([*out] if era == 1 else [], 3, era=era))
    assert view.servers.data_centres_out_of_service == {"dc-a", "dc-b", "dc-c"}
    back = DataCentreNotice("dc-b", out=False)
    sink.apply_changes(NoticeBatch([DataCentreNotice("dc-a", out=True), back], 2, era=2))
    assert view.servers.data_centres_out_of_service == {"dc-a", "dc-c"}
    now += SETTLE_S + 0.1
    sink.apply_changes(NoticeBatch([], 2, era=2))
    assert view.servers.data_centres_out_of_service == {"dc-a"}


def test_operators_topic_that_meets_the_restore_late_has_the_whole_time_to_settle() -> None:
    """Guards against requests to a data centre that is returned to service by the first read of a
    copy, since another topic was read 11 s before."""
    now = NOW
    view = FleetView(router="r1")
    sink = OperatorSink(view=view, stats=GatewayStats(metrics=Metrics()), clock=lambda: now)
    for topic in (Topic.OPERATOR, Topic.ROUTERS):
        view.history.meet(topic, 1, now=now)
    sink.apply_snapshot(NoticeBatch([DataCentreNotice("dc-a", out=True)], 3, era=1))
    view.history.meet(Topic.ROUTERS, 2, now=now)
    now += SETTLE_S + 1.0
    view.history.meet(Topic.OPERATOR, 2, now=now)
    sink.apply_snapshot(NoticeBatch([], 2, era=2))
    assert view.servers.data_centres_out_of_service == {"dc-a"}
    assert not view.history.take_settled(Topic.OPERATOR, now=now + SETTLE_S - 0.1)
    assert view.history.take_settled(Topic.OPERATOR, now=now + SETTLE_S)


@pytest.mark.parametrize("written", [False, True], ids=["never written", "moved on"])
def test_data_centre_stays_out_while_the_store_lacks_the_version_in_force(written: bool) -> None:
    """Guards against requests to a data centre whose removal the operator has not written again
    after 10 s, and against one that stays out for ever."""
    now = NOW
    view = FleetView(router="r1")
    sink = OperatorSink(view=view, stats=GatewayStats(metrics=Metrics()), clock=lambda: now)
    lost: list[Notice] = [
        RoutingNotice(make_config(7).data, ""),
        DataCentreNotice("dc-a", out=True),
    ]
    copied: list[Notice] = [RoutingNotice(make_config(4).data, "")]
    for era in (1, 2):
        view.history.meet(Topic.OPERATOR, era, now=now)
        sink.apply_snapshot(NoticeBatch([*lost] if era == 1 else [*copied], 3, era=era))
    now += SETTLE_S + 0.1
    sink.apply_changes(NoticeBatch([], 3, era=2))
    assert view.servers.data_centres_out_of_service == {"dc-a"}
    now += SETTLE_S
    sink.apply_snapshot(NoticeBatch([*copied], 3, era=2))
    assert view.servers.data_centres_out_of_service == {"dc-a"}
    later: list[Notice] = [RoutingNotice(make_config(9).data, "")] if written else []
    sink.apply_changes(NoticeBatch(later, 4, era=2))
    now += SETTLE_S - 0.1
    sink.apply_changes(NoticeBatch([], 4, era=2))
    assert view.servers.data_centres_out_of_service == {"dc-a"}
    now = now + 0.1 if written else NOW + MAX_BEHIND_S
    sink.apply_changes(NoticeBatch([], 4, era=2))
    assert view.servers.data_centres_out_of_service == set()
