"""Finds a server that runs a service call, at most once where the policy says so."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from cornellead.dispatch._agent_reply import AgentReply
from cornellead.dispatch._agent_reply import Answered
from cornellead.dispatch._agent_reply import Refused
from cornellead.dispatch._service_job import ServiceAnswer
from cornellead.dispatch._service_round import FINAL
from cornellead.dispatch._service_round import ServiceRound
from cornellead.errors import ApiError
from cornellead.errors import lost
from cornellead.errors import refused
from cornellead.errors import too_late
from cornellead.fleet import servers_of
from cornellead_core.claims import partition_of
from cornellead_core.claims import rank_owners
from cornellead_core.config import Priority
from cornellead_core.facts import CONFIG
from cornellead_core.facts import HOSTS
from cornellead_core.placement import rank_members

if TYPE_CHECKING:
    from collections.abc import Iterable

    from cornellead.dispatch._agent_caller import AgentCaller
    from cornellead.dispatch._progress import Progress
    from cornellead.dispatch._service_job import ServiceJob
    from cornellead.fleet import ServerView
    from cornellead.waiting import Waiter
    from cornellead_core.blackboard import Blackboard
    from cornellead_core.retries import RetryBudget

MAX_RESPONSE_BYTES = 4 << 20


class ServiceDispatcher:
    """Offers a call to the servers of a service, then lets it wait for its turn.

    After an attempt that may have run, an idempotent call may be sent to another server under the
    retry budget. A call that must run at most once is never sent again; its outcome is ``unknown``.
    """

    def __init__(
        self,
        *,
        board: Blackboard,
        caller: AgentCaller,
        view: ServerView,
        waiter: Waiter,
        budget: RetryBudget,
        attempts: int,
    ) -> None:
        self._board = board
        self._caller = caller
        self._view = view
        self._waiter = waiter
        self._budget = budget
        self._attempts = attempts

    async def run(self, job: ServiceJob, progress: Progress) -> ServiceAnswer | ApiError:
        """Run the call and read its whole response."""
        return await self._waiter.try_until(
            lambda: self._try_round(job, progress),
            queue=f"service/{job.service}",
            team=job.team,
            priority=job.priority,
            deadline=job.request.deadline,
            progress=progress,
        )

    async def _try_round(
        self, job: ServiceJob, progress: Progress
    ) -> ServiceAnswer | ApiError | None:
        loop = asyncio.get_running_loop()
        hosts = self._board.read(HOSTS)
        servers = servers_of(job.service, hosts=hosts, config=self._board.read(CONFIG))
        asked = ServiceRound(
            order=_order(job, servers),
            view=self._view,
            attempts=self._attempts,
            batch=job.priority is Priority.BATCH,
        )
        while (server := asked.next(now=loop.time())) is not None:
            if loop.time() >= job.request.deadline:
                return too_late(may_have_run=progress.may_have_run)
            progress.in_flight = True
            reply = await self._caller.call(servers[server], job.request, {})
            if isinstance(reply, Refused):
                progress.in_flight = False
                if reply.refusal.reason in FINAL:
                    if progress.may_have_run:
                        return lost(reply.refusal.message, may_have_run=True)
                    return refused(reply.refusal, reply.head.status)
                asked.refused(reply.refusal)
                continue
            answer = await self._read(reply, server, job)
            progress.in_flight = False
            if isinstance(answer, ServiceAnswer) and (answer.status < 500 or job.at_most_once):
                return answer
            if isinstance(answer, ServiceAnswer):
                progress.may_have_run = True
                self._view.failed(server, now=loop.time())
            else:
                progress.may_have_run |= answer.outcome != "not_run"
                answer = lost(answer.message, may_have_run=progress.may_have_run)
            if loop.time() >= job.request.deadline:
                return too_late(may_have_run=progress.may_have_run)
            if job.at_most_once and progress.may_have_run:
                return answer
            if not self._budget.try_spend(now=loop.time()):
                return answer
        return None

    async def _read(
        self, reply: AgentReply, server: str, job: ServiceJob
    ) -> ServiceAnswer | ApiError:
        if isinstance(reply, Refused):
            raise AssertionError("a refusal has no answer to read")
        if not isinstance(reply, Answered):
            return lost(reply.message, may_have_run=reply.may_have_run)
        loop = asyncio.get_running_loop()
        timer = loop.call_at(job.request.deadline, reply.exchange.abort)
        try:
            body = await reply.exchange.read_all(limit=MAX_RESPONSE_BYTES)
        finally:
            timer.cancel()
            self._view.finished(server)
        fields = reply.head.headers
        if body is None or fields.get("content-length") != str(len(body)):
            reply.exchange.abort()
            self._view.failed(server, now=loop.time())
            return lost("the response was cut off", may_have_run=True)
        return ServiceAnswer(reply.head.status, fields, body)


def _order(job: ServiceJob, servers: Iterable[str]) -> list[str]:
    if job.key is None:
        return rank_members(job.request.request_id, servers)
    partition = partition_of(team=job.team.name, key=job.key)
    return rank_owners(service=job.service, partition=partition, servers=servers)
