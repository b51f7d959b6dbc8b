"""Selects a server for a service call and sends the call there."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from cornellead.dispatch._attempt_result import AgentRefusal
from cornellead.dispatch._attempt_result import AgentResponse
from cornellead.dispatch._attempt_result import AttemptResult
from cornellead.dispatch._service_job import ServiceResponse
from cornellead.dispatch._service_plan import FINAL_REFUSALS
from cornellead.dispatch._service_plan import ServicePlan
from cornellead.errors import ApiError
from cornellead.errors import deadline_error
from cornellead.errors import refusal_error
from cornellead.errors import upstream_error
from cornellead.fleet import servers_for
from cornellead_core.claims import partition_of
from cornellead_core.claims import rank_owners
from cornellead_core.config import Priority
from cornellead_core.facts import CONFIG
from cornellead_core.facts import HOSTS
from cornellead_core.placement import rank_members

if TYPE_CHECKING:
    from collections.abc import Iterable

    from cornellead.dispatch._agent_client import AgentClient
    from cornellead.dispatch._request_state import RequestState
    from cornellead.dispatch._service_job import ServiceJob
    from cornellead.fleet import ServerView
    from cornellead.waiting import AttemptScheduler
    from cornellead_core.blackboard import Blackboard
    from cornellead_core.retries import RetryBudget

MAX_RESPONSE_BYTES = 4 << 20


class ServiceDispatcher:
    """Sends a call to the servers of a service until one accepts it.

    A call that none of the selected servers accepts is queued, and retried when it is at the head
    of its queue. After an attempt that may have run, an idempotent call is sent to another server
    if the retry budget allows it. A call that must run at most once is not sent again; its outcome
    is ``unknown``.
    """

    def __init__(
        self,
        *,
        board: Blackboard,
        agent_client: AgentClient,
        view: ServerView,
        scheduler: AttemptScheduler,
        budget: RetryBudget,
        attempts: int,
    ) -> None:
        self._board = board
        self._agent_client = agent_client
        self._view = view
        self._scheduler = scheduler
        self._budget = budget
        self._attempts = attempts

    async def run(self, job: ServiceJob, state: RequestState) -> ServiceResponse | ApiError:
        """Send the call until a server accepts it, and read the whole response."""
        return await self._scheduler.run_attempts(
            lambda: self._try_servers(job, state),
            queue=_queue_name(job),
            team=job.team,
            priority=job.priority,
            deadline=job.request.deadline,
            state=state,
        )

    async def _try_servers(
        self, job: ServiceJob, state: RequestState
    ) -> ServiceResponse | ApiError | None:
        loop = asyncio.get_running_loop()
        hosts = self._board.read(HOSTS)
        servers = servers_for(job.service, hosts=hosts, config=self._board.read(CONFIG))
        plan = ServicePlan(
            order=_preference_order(job, servers),
            view=self._view,
            attempts=self._attempts,
            batch=job.priority is Priority.BATCH,
        )
        while (server := plan.next(now=loop.time())) is not None:
            if loop.time() >= job.request.deadline:
                return deadline_error(may_have_run=state.may_have_run)
            state.in_flight = True
            result = await self._agent_client.call(servers[server], job.request, {})
            if isinstance(result, AgentRefusal):
                state.in_flight = False
                if result.refusal.reason in FINAL_REFUSALS:
                    if state.may_have_run:
                        return upstream_error(result.refusal.message, may_have_run=True)
                    return refusal_error(result.refusal, result.head.status)
                plan.record_refusal(result.refusal)
                continue
            response = await self._read_response(result, server, job)
            state.in_flight = False
            if isinstance(response, ServiceResponse) and (
                response.status < 500 or job.at_most_once
            ):
                return response
            if isinstance(response, ServiceResponse):
                state.may_have_run = True
                self._view.record_failure(server, now=loop.time())
            else:
                state.may_have_run |= response.outcome != "not_run"
                response = upstream_error(response.message, may_have_run=state.may_have_run)
            if loop.time() >= job.request.deadline:
                return deadline_error(may_have_run=state.may_have_run)
            if job.at_most_once and state.may_have_run:
                return response
            if not self._budget.try_spend(now=loop.time()):
                return response
        return None

    async def _read_response(
        self, result: AttemptResult, server: str, job: ServiceJob
    ) -> ServiceResponse | ApiError:
        if isinstance(result, AgentRefusal):
            raise AssertionError("refusals must be handled before the response is read")
        if not isinstance(result, AgentResponse):
            return upstream_error(result.message, may_have_run=result.may_have_run)
        loop = asyncio.get_running_loop()
        timer = result.exchange.abort_at(job.request.deadline)
        try:
            body = await result.exchange.read_all(limit=MAX_RESPONSE_BYTES)
        finally:
            timer.cancel()
            self._view.record_finished(server)
            self._scheduler.wake(_queue_name(job))
        headers = result.head.headers
        if body is None or headers.get("content-length") != str(len(body)):
            result.exchange.abort()
            self._view.record_failure(server, now=loop.time())
            return upstream_error("the response was cut off", may_have_run=True)
        return ServiceResponse(result.head.status, headers, body)


def _queue_name(job: ServiceJob) -> str:
    return f"service/{job.service}"


def _preference_order(job: ServiceJob, servers: Iterable[str]) -> list[str]:
    if job.key is None:
        return rank_members(job.request.request_id, servers)
    partition = partition_of(team=job.team.name, key=job.key)
    return rank_owners(service=job.service, partition=partition, servers=servers)
