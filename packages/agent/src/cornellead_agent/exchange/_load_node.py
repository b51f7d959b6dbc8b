"""Load exchange protocol of one agent, without I/O."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cornellead_agent.exchange._interval import MESH_EXCHANGE_BYTES
from cornellead_agent.exchange._interval import REPORT_EXCHANGE_BYTES
from cornellead_agent.exchange._interval import round_interval_s
from cornellead_agent.exchange._round_plan import RoundPlan
from cornellead_agent.exchange._round_plan import plan_round
from cornellead_core.load import EXPIRY_S
from cornellead_core.load import TOTAL
from cornellead_core.load import Digest
from cornellead_core.wire import LoadExchange
from cornellead_core.wire import LoadReportMessage

if TYPE_CHECKING:
    from collections.abc import Sequence

    from cornellead_agent.admission import AdmissionController
    from cornellead_agent.exchange._round_plan import Member
    from cornellead_core.load import DcSummary
    from cornellead_core.load import LoadTable
    from cornellead_core.wire import Message

MAX_REPORTER_FAILURES = 2
"""Consecutive failed requests after which the next agent by rank becomes the reporter."""
REPORTER_RETRY_S = 5.0
"""Time after the last failure until an agent is eligible as reporter again."""
REPORT_MAX_AGE_S = 3.0
"""Age above which a member's report is left out of the group summary."""
REPLY_SUMMARIES = 2
"""Summaries in a reply to a member or reporter; successive replies rotate through all data
centres."""


class LoadNode:
    """Builds the messages of each round and merges the messages of peers into the load table."""

    def __init__(
        self, *, name: str, dc: str, admission: AdmissionController, table: LoadTable
    ) -> None:
        self._name = name
        self._dc = dc
        self._admission = admission
        self._table = table
        self._plan = RoundPlan(mesh=True)
        self._failures: dict[str, tuple[int, float]] = {}
        self._seq = admission.first_seq
        self._rotation_offset = 0

    @property
    def interval_s(self) -> float:
        """Time between rounds, in seconds, that keeps the exchange within the byte budget."""
        exchange_bytes = MESH_EXCHANGE_BYTES if self._plan.mesh else REPORT_EXCHANGE_BYTES
        return round_interval_s(exchanges=self._plan.exchanges, exchange_bytes=exchange_bytes)

    def start_round(self, members: Sequence[Member], *, now: float) -> list[tuple[str, Message]]:
        """Plan a round and return its messages as pairs of receiver name and message."""
        failed = {
            peer
            for peer, (count, at) in self._failures.items()
            if count >= MAX_REPORTER_FAILURES and now - at < REPORTER_RETRY_S
        }
        plan = plan_round(name=self._name, dc=self._dc, members=members, failed=failed)
        self._plan = plan
        self._admission.has_own_summary = plan.mesh
        if plan.mesh:
            return [(peer, LoadExchange([self._admission.summary()])) for peer in plan.peers]
        if plan.reporter != self._name:
            return [(plan.reporter, LoadReportMessage(self._dc, self._admission.report(now=now)))]
        group = self._summarize_group(now)
        if plan.head != self._name:
            return [(plan.head, LoadExchange([group]))]
        total = self._summarize_total(now)
        return [(peer, LoadExchange([total])) for peer in plan.peers]

    def handle(self, message: LoadExchange | LoadReportMessage, *, now: float) -> LoadExchange:
        """Merge a request of a peer and return the reply."""
        if isinstance(message, LoadReportMessage):
            self._table.merge_report(message.own, now=now)
            return LoadExchange(self._next_totals(now))
        self._table.merge(Digest(message.summaries), now=now)
        if self._plan.mesh:
            return LoadExchange([self._admission.summary()])
        if any(summary.dc == self._dc for summary in message.summaries):
            return LoadExchange(self._next_totals(now))
        return LoadExchange([self._summarize_total(now)])

    def record_reply(self, peer: str, reply: LoadExchange, *, sent_at: float) -> None:
        """Merge a reply and reset the failure count of its sender.

        :param sent_at: Time of the request. Ages count from then, so they include the time on the
            wire.
        """
        self._failures.pop(peer, None)
        self._table.merge(Digest(reply.summaries), now=sent_at)

    def record_failure(self, peer: str, *, now: float) -> None:
        """Record a request that failed or received no reply."""
        count, _ = self._failures.get(peer, (0, now))
        self._failures[peer] = (count + 1, now)

    def _summarize_group(self, now: float) -> DcSummary:
        self._seq += 1
        self._table.merge_report(self._admission.report(now=now), now=now)
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

    def _next_totals(self, now: float) -> list[DcSummary]:
        totals = [
            summary
            for summary in self._table.summaries(now=now, max_age_s=EXPIRY_S)
            if summary.group == TOTAL
        ]
        if len(totals) <= REPLY_SUMMARIES:
            return totals
        start = self._rotation_offset % len(totals)
        self._rotation_offset += REPLY_SUMMARIES
        return (totals + totals)[start : start + REPLY_SUMMARIES]
