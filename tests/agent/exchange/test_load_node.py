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
from cornellead_core.wire import LoadReportMessage

if TYPE_CHECKING:
    from tests.agent.harness import Harness

MEMBERS = [Member(f"m{n}", "dc0") for n in range(8)] + [Member(f"x{n}", "dc1") for n in range(12)]


def make_report(server: str, load: int) -> LoadReport:
    """Return a report of age 0."""
    return LoadReport(server, 1, 1, 0, load, 16.0, 16, ServerState.SERVING)


def test_each_pair_of_a_small_fleet_is_planned_once() -> None:
    """Guards against pairs of agents that exchange twice per round or not at all."""
    members = MEMBERS[:5]
    pairs = [
        (member.name, peer)
        for member in members
        for peer in plan_round(name=member.name, dc=member.dc, members=members).peers
    ]
    assert len(pairs) == len({frozenset(pair) for pair in pairs}) == 10


async def test_next_agent_by_rank_replaces_a_failed_reporter(harness: Harness) -> None:
    """Guards against a failed reporter that leaves its group without a load estimate."""
    node = LoadNode(name="m0", dc="dc0", admission=harness.admission, table=harness.table)
    receivers = []
    for now in (0.0, 1.0, 2.0, 8.0):
        ((peer, _),) = node.start_round(MEMBERS, now=now)
        receivers.append(peer)
        node.record_failure(peer, now=now)
    first, second, third, fourth = receivers
    assert first == second != third
    assert fourth == first


async def test_reporter_sums_its_group_and_head_sums_its_data_centre(harness: Harness) -> None:
    """Guards against a mean load that counts a server twice or leaves out a group."""
    dc = next(
        name
        for name in (f"dc{n}" for n in range(2, 100))
        if choose_reporter(name, 0, [f"m{n}" for n in range(8)], ()) == "m0"
    )
    members = [member._replace(dc=dc) if member.dc == "dc0" else member for member in MEMBERS]
    node = LoadNode(name="m0", dc=dc, admission=harness.admission, table=harness.table)
    harness.admission.in_flight = 4
    node.start_round(members, now=1000.0)
    for n in range(1, 8):
        node.handle(LoadReportMessage(dc, make_report(f"m{n}", 3)), now=1000.1)
    remote = DcSummary("dc1", TOTAL, 7, 0, 24, 192.0, 12)
    node.start_round(members, now=1000.2)
    (total,) = node.handle(LoadExchange([remote]), now=1000.2).summaries
    assert (total.dc, total.group, total.servers, total.load) == (dc, TOTAL, 8, 25)
    assert harness.table.estimate(now=1000.2).servers == 20


async def test_forwarded_summary_does_not_become_younger(harness: Harness) -> None:
    """Guards against an old summary that is preferred to newer ones.

    Ages do not include the time on the wire, so a summary became younger with each hop.
    """
    old = DcSummary("dc1", TOTAL, 5, 0, 24, 192.0, 12)
    harness.table.merge_summary(old, now=0.0)
    for step in range(1, 1000):
        harness.table.merge_summary(old._replace(age_ms=step), now=step * 0.002)
    (merged,) = harness.table.summaries(now=2.0, max_age_s=10.0)
    assert merged.age_ms == 2000
