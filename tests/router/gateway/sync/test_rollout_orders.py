"""Orders of rollouts as operators write them."""

from __future__ import annotations

import msgspec
import pytest
from tests.router.gateway.builders import make_config

from cornellead.gateway.exchange import RolloutChannel
from cornellead.gateway.stats import GatewayStats
from cornellead.gateway.sync import OperatorSink
from cornellead.gateway.view import FleetView
from cornellead_core.decoding import UNREADABLE
from cornellead_core.metrics import Metrics
from cornellead_core.routing import NoticeBatch
from cornellead_core.routing import RolloutOrder
from cornellead_core.routing import RolloutOrderNotice
from cornellead_core.routing import RolloutPhase
from cornellead_core.routing import RolloutRecord
from cornellead_core.routing import RoutingNotice

ORDER = RolloutOrder("llm", "v2", 60.0, 3)
CONFIG = RoutingNotice(make_config().data, "")


def make_sink(view: FleetView) -> OperatorSink:
    return OperatorSink(view=view, stats=GatewayStats(metrics=Metrics()), clock=lambda: 0.0)


def test_order_that_a_snapshot_lacks_is_withdrawn() -> None:
    """Guards against a rollout that goes on since its removal was not read as a change."""
    view = FleetView(router="r1")
    sink = make_sink(view)
    sink.apply_snapshot(NoticeBatch([CONFIG, RolloutOrderNotice("llm", ORDER)], 4))
    rollout = view.rollouts.get("llm")
    assert rollout is not None and not rollout.withdrawn
    sink.apply_snapshot(NoticeBatch([CONFIG], 9))
    assert rollout.withdrawn


def test_order_that_is_read_again_changes_nothing() -> None:
    """Guards against counts and limit that begin anew with each snapshot."""
    view = FleetView(router="r1")
    sink = make_sink(view)
    for _ in range(2):
        sink.apply_snapshot(NoticeBatch([CONFIG, RolloutOrderNotice("llm", ORDER)], 4))
        rollout = view.rollouts.get("llm")
        assert rollout is not None
        rollout.count("stream", new=True, bad=False)
    rollout = view.rollouts.get("llm")
    assert rollout is not None and rollout.own["stream"][0] == 2


def test_fault_reaches_other_routers_and_counts_are_merged_once() -> None:
    """Guards against a verdict that stays with one router, and datagrams that count twice."""
    views = [FleetView(router=name) for name in ("r1", "r2")]
    for view in views:
        view.rollouts.apply_order(ORDER, now=0.0)
    first, second = (view.rollouts.get("llm") for view in views)
    assert first is not None and second is not None
    first.count("stream", new=True, bad=True)
    channels = [RolloutChannel(rollouts=view.rollouts) for view in views]
    report = channels[0].encode(now=2.0)
    assert report is not None and len(report) < 200
    channels[1].apply(report, now=2.0)
    channels[1].apply(report, now=2.5)
    assert second.merged() == {"stream": (1, 1, 0, 0)}
    views[0].rollouts.mark_bad(first, "stream", source="r1")
    assert channels[0].has_news and not channels[1].has_news
    news = channels[0].encode(now=2.1)
    assert news is not None
    channels[1].apply(news, now=2.1)
    assert second.fault == "stream" and channels[1].has_news


@pytest.mark.parametrize("elapsed_s", [-1.0, float("nan"), float("inf")])
def test_odd_report_is_rejected(elapsed_s: float) -> None:
    """Guards against a rollout that ends at once since a datagram tells an odd age."""
    view = FleetView(router="r1")
    view.rollouts.apply_order(ORDER, now=0.0)
    data = msgspec.msgpack.encode(("r2", 1, "llm", 3, elapsed_s, "", []))
    with pytest.raises(UNREADABLE):
        RolloutChannel(rollouts=view.rollouts).apply(data, now=1.0)


def test_fault_that_is_found_after_the_completion_is_ignored() -> None:
    """Guards against a service without servers: the old ones end at the completion."""
    view = FleetView(router="r1")
    view.rollouts.apply_order(ORDER, now=0.0)
    rollout = view.rollouts.get("llm")
    assert rollout is not None
    view.rollouts.mark_bad(rollout, "stream", source="r1")
    record = RolloutRecord(3, "v2", RolloutPhase.COMPLETED, 1.0, 50.0, announced=False)
    view.rollouts.apply_record("llm", record, now=50.0)
    view.rollouts.mark_bad(rollout, "stream", source="r1")
    assert not rollout.fault and rollout.share == 1.0
