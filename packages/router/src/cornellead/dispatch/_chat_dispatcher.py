"""Selects a server for a chat request and sends the request there."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING
from typing import NamedTuple

from cornellead.dispatch._agent_request import AgentRequest
from cornellead.dispatch._attempt_result import AgentRefusal
from cornellead.dispatch._attempt_result import AgentResponse
from cornellead.errors import ApiError
from cornellead.errors import deadline_error
from cornellead.errors import upstream_error
from cornellead.fleet import EngineDirectory
from cornellead.placement import PlacementPlan
from cornellead.upstream import Exchange
from cornellead.upstream import ResponseHead
from cornellead_core import headers as header_names
from cornellead_core.config import Priority
from cornellead_core.config import TeamPolicy
from cornellead_core.outcomes import RefusalReason
from cornellead_core.placement import ChatKey
from cornellead_core.placement import order_by_rendezvous

if TYPE_CHECKING:
    from cornellead.dispatch._agent_client import AgentClient
    from cornellead.dispatch._hint_sender import HintSender
    from cornellead.dispatch._request_state import RequestState
    from cornellead.fleet import ServerView
    from cornellead.placement import Placement
    from cornellead.waiting import AttemptScheduler
    from cornellead_core.blackboard import Blackboard
    from cornellead_core.outcomes import Refusal
    from cornellead_core.platform import HostEntry
    from cornellead_core.retries import RetryBudget

MAX_ERROR_BODY_BYTES = 64 << 10
CACHE_HOLDER_RETRY_DELAY_S = 0.04
MAX_CACHE_HOLDER_RETRIES = 4
"""How often a request is retried at a full server that holds the chat's prompt cache before other
servers are tried. The retries delay a request by up to 0.16 s, a quarter of the target for the time
to first token. Recomputing a long prompt on a server without its cache takes longer."""


class ChatJob(NamedTuple):
    """An authenticated and parsed chat request."""

    request: AgentRequest
    model: str
    key: ChatKey
    team: TeamPolicy
    priority: Priority


class PlacedChat(NamedTuple):
    """Response of the server that accepted the request."""

    server: str
    head: ResponseHead
    exchange: Exchange


class ChatDispatcher:
    """Sends a chat request to servers in preference order until one accepts it.

    A request that none of the selected servers accepts is queued, and retried when it is at the
    head of its queue. An attempt after a failure is charged to the retry budget; one after a
    refusal is not.
    """

    def __init__(
        self,
        *,
        board: Blackboard,
        agent_client: AgentClient,
        view: ServerView,
        scheduler: AttemptScheduler,
        budget: RetryBudget,
        hints: HintSender,
        attempts: int,
    ) -> None:
        self._directory = EngineDirectory(board=board)
        self._agent_client = agent_client
        self._view = view
        self._scheduler = scheduler
        self._budget = budget
        self._hints = hints
        self._attempts = attempts

    async def place(
        self, job: ChatJob, state: RequestState, *, resume_from: int | None = None
    ) -> PlacedChat | ApiError:
        """Send the request until a server accepts it.

        :param resume_from: Number of events already delivered to the caller, for a stream that is
            being resumed.
        :returns: The response, or the error for the caller if no further attempt is allowed.
        """
        return await self._scheduler.run_attempts(
            lambda: self._try_servers(job, state, resume_from),
            queue=_queue_name(job),
            team=job.team,
            priority=job.priority,
            deadline=job.request.deadline,
            state=state,
            # A resumed stream was admitted before, so it does not queue behind new requests.
            skip_queue=resume_from is not None,
        )

    def release(self, job: ChatJob, placed: PlacedChat) -> None:
        """Record that the response ended and wake the next queued request for the model."""
        placed.exchange.abort()
        self._view.record_finished(placed.server)
        self._scheduler.wake(_queue_name(job))

    async def _try_servers(
        self, job: ChatJob, state: RequestState, resume_from: int | None
    ) -> PlacedChat | ApiError | None:
        loop = asyncio.get_running_loop()
        engines, weighted = self._directory.find(job.model)
        order = order_by_rendezvous(job.key.placement_key(job.model), weighted)
        plan = PlacementPlan(
            order=order,
            view=self._view,
            attempts=self._attempts,
            batch=job.priority is Priority.BATCH,
            returning=job.key.returning,
        )
        redirected = False
        holder_retries_left = MAX_CACHE_HOLDER_RETRIES
        while (placement := plan.next(now=loop.time())) is not None:
            if loop.time() >= job.request.deadline:
                return deadline_error(may_have_run=state.may_have_run)
            host = engines[placement.server]
            state.in_flight = True
            result = await self._agent_client.call(
                host, job.request, _placement_headers(placement, resume_from)
            )
            if isinstance(result, AgentResponse) and result.head.status < 500:
                if not redirected:
                    self._send_cache_hint(job, engines[order[0]], placement.server)
                return PlacedChat(placement.server, result.head, result.exchange)
            state.in_flight = False
            if isinstance(result, AgentRefusal):
                if result.refusal.reason is RefusalReason.DEADLINE:
                    return deadline_error(may_have_run=state.may_have_run)
                redirected = result.refusal.reason is RefusalReason.MOVED
                plan.record_refusal(result.refusal.reason, result.refusal.hint)
                if holder_retries_left > 0 and _is_full_cache_holder(result.refusal, host):
                    holder_retries_left -= 1
                    plan.retry(host.name)
                    await asyncio.sleep(CACHE_HOLDER_RETRY_DELAY_S)
                continue
            if isinstance(result, AgentResponse):
                await result.exchange.read_all(limit=MAX_ERROR_BODY_BYTES)
                self._view.record_failure(placement.server, now=loop.time())
                message, may_have_run = f"{host.name} failed with {result.head.status}", True
            else:
                message, may_have_run = result.message, result.may_have_run
            state.may_have_run |= may_have_run
            state.unanswered_failures += may_have_run
            if state.may_crash_servers:
                return upstream_error(message, may_have_run=True)
            if loop.time() >= job.request.deadline:
                return deadline_error(may_have_run=state.may_have_run)
            if not self._budget.try_spend(now=loop.time()):
                return upstream_error(message, may_have_run=state.may_have_run)
        return None

    def _send_cache_hint(self, job: ChatJob, first: HostEntry, server: str) -> None:
        # The next turn of the chat goes to the first server in preference order again. With the
        # hint, that server redirects it to the one that has the cache. A server that is unavailable
        # cannot receive a hint.
        now = asyncio.get_running_loop().time()
        if first.name != server and self._view.is_available(first.name, now=now):
            self._hints.enqueue(first.control, chat=job.key.value, server=server)


def _queue_name(job: ChatJob) -> str:
    return f"model/{job.model}"


def _is_full_cache_holder(refusal: Refusal, host: HostEntry) -> bool:
    # A full server that holds the chat's cache names itself in the hint.
    return refusal.reason is RefusalReason.OVER_BOUND and refusal.hint == host.name


def _placement_headers(placement: Placement, resume_from: int | None) -> dict[str, str]:
    headers = {}
    if placement.adopt:
        headers[header_names.ADOPT] = "1"
    if placement.fallback:
        headers[header_names.FALLBACK] = "1"
    if resume_from:
        headers[header_names.RESUME] = str(resume_from)
    return headers
