"""Load exchange of one agent, without I/O."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cornellead_agent.exchange._interval import LINK_BYTES
from cornellead_agent.exchange._interval import PAIR_BYTES
from cornellead_agent.exchange._interval import round_interval_s
from cornellead_agent.exchange._round_plan import RoundPlan
from cornellead_agent.exchange._round_plan import plan_round
from cornellead_core.load import EXPIRY_S
from cornellead_core.load import TOTAL
from cornellead_core.load import Digest
from cornellead_core.wire import LoadExchange
from cornellead_core.wire import Report

if TYPE_CHECKING:
    from collections.abc import Sequence

    from cornellead_agent.admission import Gate
    from cornellead_agent.exchange._round_plan import Member
    from cornellead_core.load import DcSummary
    from cornellead_core.load import LoadTable
    from cornellead_core.wire import Message

FAILURES_SKIP = 2
"""Unanswered requests after which the next agent by rank is the reporter."""
RETRY_S = 5.0
"""Time after which an agent that did not answer may be reporter again."""
REPORT_MAX_AGE_S = 3.0
REPLY_SUMMARIES = 2
"""Summaries in the answer to a member or reporter; successive answers rotate through all."""


class LoadNode:
    """Decides what an agent sends in each round and merges what it receives."""

    def __init__(self, *, name: str, dc: str, gate: Gate, table: LoadTable) -> None:
        self._name = name
        self._dc = dc
        self._gate = gate
        self._table = table
        self._plan = RoundPlan(mesh=True)
        self._failures: dict[str, tuple[int, float]] = {}
        self._seq = gate.first_seq
        self._rotation = 0

    @property
    def interval_s(self) -> float:
        """Time between rounds within the byte budget."""
        exchange_bytes = PAIR_BYTES if self._plan.mesh else LINK_BYTES
        return round_interval_s(exchanges=self._plan.exchanges, exchange_bytes=exchange_bytes)

    def start_round(self, members: Sequence[Member], *, now: float) -> list[tuple[str, Message]]:
        """Return the messages of a round with the names of their receivers."""
        failed = {
            peer
            for peer, (count, at) in self._failures.items()
            if count >= FAILURES_SKIP and now - at < RETRY_S
        }
        plan = plan_round(name=self._name, dc=self._dc, members=members, failed=failed)
        self._plan = plan
        self._gate.has_own_summary = plan.mesh
        if plan.mesh:
            return [(peer, LoadExchange([self._gate.summary()])) for peer in plan.peers]
        if plan.reporter != self._name:
            return [(plan.reporter, Report(self._dc, self._gate.report(now=now)))]
        group = self._summarize_group(now)
        if plan.head != self._name:
            return [(plan.head, LoadExchange([group]))]
        total = self._summarize_total(now)
        return [(peer, LoadExchange([total])) for peer in plan.peers]

    def handle(self, message: LoadExchange | Report, *, now: float) -> LoadExchange:
        """Merge a request of a peer and return the answer."""
        if isinstance(message, Report):
            self._table.merge_report(message.own, now=now)
            return LoadExchange(self._rotate(now))
        self._table.merge(Digest(message.summaries), now=now)
        if self._plan.mesh:
            return LoadExchange([self._gate.summary()])
        if any(summary.dc == self._dc for summary in message.summaries):
            return LoadExchange(self._rotate(now))
        return LoadExchange([self._summarize_total(now)])

    def record_answer(self, peer: str, answer: LoadExchange, *, sent_at: float) -> None:
        """Merge an answer, dated from its request so that the time on the wire counts as age."""
        self._failures.pop(peer, None)
        self._table.merge(Digest(answer.summaries), now=sent_at)

    def record_failure(self, peer: str, *, now: float) -> None:
        """Count a request that was not answered."""
        count, _ = self._failures.get(peer, (0, now))
        self._failures[peer] = (count + 1, now)

    def _summarize_group(self, now: float) -> DcSummary:
        self._seq += 1
        self._table.merge_report(self._gate.report(now=now), now=now)
        summary = self._table.summarize(
            dc=self._dc,
            group=self._plan.group,
            members=self._plan.group_members,
            seq=self._seq,
            now=now,
            max_age_s=REPORT_MAX_AGE_S,
        )
        self._table.replace_summary(summary, now=now)
        return summary

    def _summarize_total(self, now: float) -> DcSummary:
        self._seq += 1
        total = self._table.summarize_total(dc=self._dc, seq=self._seq, now=now)
        self._table.replace_summary(total, now=now)
        return total

    def _rotate(self, now: float) -> list[DcSummary]:
        known = [
            summary
            for summary in self._table.summaries(now=now, max_age_s=EXPIRY_S)
            if summary.group == TOTAL
        ]
        if len(known) <= REPLY_SUMMARIES:
            return known
        start = self._rotation % len(known)
        self._rotation += REPLY_SUMMARIES
        return (known + known)[start : start + REPLY_SUMMARIES]
