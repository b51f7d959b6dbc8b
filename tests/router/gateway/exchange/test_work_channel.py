"""Reports of work at servers between routers."""

from __future__ import annotations

import msgspec
import pytest
from tests.router.gateway.builders import make_entry

from cornellead.gateway.exchange import WorkChannel
from cornellead.gateway.view import FleetView
from cornellead.gateway.view import PromptLoad
from cornellead.gateway.view import ServerState
from cornellead_core.decoding import UNREADABLE


def _make_router(name: str) -> tuple[WorkChannel, list[ServerState]]:
    view = FleetView(router=name)
    for number in range(20):
        view.servers.put(make_entry(f"s{number}"), now=0.0)
    return WorkChannel(view=view), view.servers.states()


def test_other_routers_learn_of_pending_prefill_and_factors() -> None:
    """Guards against a router that sends short prompts to a server that others have filled."""
    (sender, mine), (receiver, theirs) = _make_router("r1"), _make_router("r2")
    mine[3].prompts.start(1, PromptLoad(20_000, 20_000), now=10.0)
    mine[5].work.record(2.5, now=10.0)
    report = sender.encode(now=10.0)
    assert report is not None
    receiver.apply(report, now=10.0)
    assert theirs[3].prompts.pending_tokens(tokens_per_s=1e5, now=10.0) == 20_000
    assert theirs[5].work.value(now=10.0) == 2.5
    assert receiver.encode(now=10.0) is None


def test_nothing_is_sent_if_servers_report_no_work() -> None:
    """Guards against bytes between routers of deployments that have no use for them."""
    channel, servers = _make_router("r1")
    servers[0].prompts.start(1, PromptLoad(11_812, 1_300), now=0.0)
    assert channel.encode(now=0.0) is None


def test_report_is_small() -> None:
    """Guards against load reports that are sent more rarely because of these."""
    channel, servers = _make_router("router-of-a-long-name")
    for state in servers:
        state.prompts.start(1, PromptLoad(90_000, 90_000), now=0.0)
        state.work.record(1.234, now=0.0)
    report = channel.encode(now=0.1)
    assert report is not None and len(report) <= 300


def test_huge_pending_prefill_leaves_the_report_readable() -> None:
    """Guards against a caller whose token count ends the task that sends reports, or makes other
    routers drop them."""
    (sender, mine), (receiver, theirs) = _make_router("r1"), _make_router("r2")
    for number in range(100):
        mine[0].prompts.start(number, PromptLoad(10**18, 10**18), now=0.0)
    mine[1].work.record(2.5, now=0.0)
    report = sender.encode(now=0.0)
    assert report is not None
    receiver.apply(report, now=0.0)
    assert theirs[1].work.value(now=0.0) == 2.5


@pytest.mark.parametrize(
    "report",
    [b"", b"\x00", msgspec.msgpack.encode(["r", [[1, -1, None, 0.0]]])]
    + [msgspec.msgpack.encode(["r", [[1, 5, factor, 0.0]]]) for factor in (0.0, 1e6, "x")],
)
def test_odd_reports_are_unreadable(report: bytes) -> None:
    """Guards against figures out of range that another router takes over."""
    channel, _ = _make_router("r1")
    with pytest.raises(UNREADABLE):
        channel.apply(report, now=0.0)
