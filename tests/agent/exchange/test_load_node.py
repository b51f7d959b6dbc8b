"""Rounds of the load exchange."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cornellead_agent.exchange import LoadNode
from cornellead_agent.exchange import Member
from cornellead_agent.exchange import plan_round
from cornellead_agent.exchange._round_plan import choose_reporter
from cornellead_core.load import TOTAL
from cornellead_core.load import DcSummary
from cornellead_core.load import LoadReport
from cornellead_core.load import ServerState
from cornellead_core.wire import LoadExchange
from cornellead_core.wire import Report

if TYPE_CHECKING:
    from tests.agent.harness import Harness

MEMBERS = [Member(f"m{n}", "dc0") for n in range(8)] + [Member(f"x{n}", "dc1") for n in range(12)]


def make_report(server: str, load: int) -> LoadReport:
    """Return a fresh report."""
    return LoadReport(server, 1, 1, 0, load, 16.0, 16, ServerState.SERVING)


def test_each_pair_of_a_small_fleet_is_planned_once() -> None:
    """Guards against agents that exchange twice, or not at all, within the byte budget."""
    members = MEMBERS[:5]
    pairs = [
        (member.name, peer)
        for member in members
        for peer in plan_round(name=member.name, dc=member.dc, members=members).peers
    ]
    assert len(pairs) == len({frozenset(pair) for pair in pairs}) == 10


async def test_next_in_rank_is_asked_when_the_reporter_fails_twice(harness: Harness) -> None:
    """Guards against a lost reporter that leaves its group without a mean."""
    node = LoadNode(name="m0", dc="dc0", gate=harness.gate, table=harness.table)
    receivers = []
    for now in (0.0, 1.0, 2.0, 8.0):
        ((peer, _),) = node.start_round(MEMBERS, now=now)
        receivers.append(peer)
        node.record_failure(peer, now=now)
    first, again, second, later = receivers
    assert first == again != second
    assert later == first


async def test_reporter_sums_its_group_and_the_head_its_data_centre(harness: Harness) -> None:
    """Guards against a mean that counts a server twice or leaves a group out."""
    dc = next(
        name
        for name in (f"dc{n}" for n in range(2, 100))
        if choose_reporter(name, 0, [f"m{n}" for n in range(8)], ()) == "m0"
    )
    members = [member._replace(dc=dc) if member.dc == "dc0" else member for member in MEMBERS]
    node = LoadNode(name="m0", dc=dc, gate=harness.gate, table=harness.table)
    harness.gate.in_flight = 4
    node.start_round(members, now=1000.0)
    for n in range(1, 8):
        node.handle(Report(dc, make_report(f"m{n}", 3)), now=1000.1)
    remote = DcSummary("dc1", TOTAL, 7, 0, 24, 192.0, 12)
    node.start_round(members, now=1000.2)
    (total,) = node.handle(LoadExchange([remote]), now=1000.2).summaries
    assert (total.dc, total.group, total.servers, total.load) == (dc, TOTAL, 8, 25)
    assert harness.table.estimate(now=1000.2).servers == 20


async def test_summary_does_not_grow_younger_on_its_way_round(harness: Harness) -> None:
    """Guards against an old summary that keeps newer ones out.

    Ages leave out the time on the wire, so each pass between two processes made it younger.
    """
    old = DcSummary("dc1", TOTAL, 5, 0, 24, 192.0, 12)
    harness.table.merge_summary(old, now=0.0)
    for step in range(1, 1000):
        harness.table.merge_summary(old._replace(age_ms=step), now=step * 0.002)
    (known,) = harness.table.summaries(now=2.0, max_age_s=10.0)
    assert known.age_ms == 2000
