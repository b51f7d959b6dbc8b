"""Finds a server that takes a chat request."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING
from typing import NamedTuple

from cornellead.dispatch._agent_reply import Answered
from cornellead.dispatch._agent_reply import Refused
from cornellead.dispatch._agent_request import AgentRequest
from cornellead.errors import ApiError
from cornellead.errors import lost
from cornellead.errors import too_late
from cornellead.fleet import EngineDirectory
from cornellead.placement import PlacementPlan
from cornellead.upstream import Exchange
from cornellead.upstream import ResponseHead
from cornellead_core import headers as names
from cornellead_core.config import Priority
from cornellead_core.config import TeamPolicy
from cornellead_core.outcomes import RefusalReason
from cornellead_core.placement import ChatKey
from cornellead_core.placement import order_by_rendezvous

if TYPE_CHECKING:
    from cornellead.dispatch._agent_caller import AgentCaller
    from cornellead.dispatch._hint_sender import HintSender
    from cornellead.dispatch._progress import Progress
    from cornellead.fleet import ServerView
    from cornellead.placement import Placement
    from cornellead.waiting import Waiter
    from cornellead_core.blackboard import Blackboard
    from cornellead_core.outcomes import Refusal
    from cornellead_core.platform import HostEntry
    from cornellead_core.retries import RetryBudget

ERROR_BODY_LIMIT = 64 << 10
HOLDER_WAIT_S = 0.04
HOLDER_WAITS = 4
"""Times that a full server with the chat's cache is asked again before the chat goes elsewhere.
The 0.16 s in total are a quarter of the target for the first token; a long prompt without its cache
costs more."""


class ChatJob(NamedTuple):
    """A chat request that passed authentication and parsing."""

    request: AgentRequest
    model: str
    key: ChatKey
    team: TeamPolicy
    priority: Priority


class Placed(NamedTuple):
    """A server accepted the request."""

    server: str
    head: ResponseHead
    exchange: Exchange


class ChatDispatcher:
    """Offers a request to servers in preference order, then lets it wait for its turn."""

    def __init__(
        self,
        *,
        board: Blackboard,
        caller: AgentCaller,
        view: ServerView,
        waiter: Waiter,
        budget: RetryBudget,
        hints: HintSender,
        attempts: int,
    ) -> None:
        self._directory = EngineDirectory(board=board)
        self._caller = caller
        self._view = view
        self._waiter = waiter
        self._budget = budget
        self._hints = hints
        self._attempts = attempts

    async def place(
        self, job: ChatJob, progress: Progress, *, resume_from: int | None = None
    ) -> Placed | ApiError:
        """Find a server.

        :param resume_from: Events already delivered to the caller, when a stream is resumed.
        :returns: The response, or the error for the caller once no attempt may follow.
        """
        return await self._waiter.try_until(
            lambda: self._try_round(job, progress, resume_from),
            queue=_queue_of(job),
            team=job.team,
            priority=job.priority,
            deadline=job.request.deadline,
            progress=progress,
            # A resumed stream was admitted before; it does not queue behind new requests again.
            overtakes=resume_from is not None,
        )

    def release(self, job: ChatJob, placed: Placed) -> None:
        """Take note that a response ended, and let a waiting request try the server."""
        placed.exchange.abort()
        self._view.finished(placed.server)
        self._waiter.wake(_queue_of(job))

    async def _try_round(
        self, job: ChatJob, progress: Progress, resume_from: int | None
    ) -> Placed | ApiError | None:
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
        hinted = False
        waits_left = HOLDER_WAITS
        while (placement := plan.next(now=loop.time())) is not None:
            if loop.time() >= job.request.deadline:
                return too_late(may_have_run=progress.may_have_run)
            host = engines[placement.server]
            progress.in_flight = True
            reply = await self._caller.call(host, job.request, _extra(placement, resume_from))
            if isinstance(reply, Answered) and reply.head.status < 500:
                if not hinted:
                    self._send_hint(job, engines[order[0]], placement.server)
                return Placed(placement.server, reply.head, reply.exchange)
            progress.in_flight = False
            if isinstance(reply, Refused):
                if reply.refusal.reason is RefusalReason.DEADLINE:
                    return too_late(may_have_run=progress.may_have_run)
                hinted = reply.refusal.reason is RefusalReason.MOVED
                plan.refused(reply.refusal.reason, reply.refusal.hint)
                if waits_left > 0 and _holds_cache(reply.refusal, host):
                    waits_left -= 1
                    plan.ask_again(host.name)
                    await asyncio.sleep(HOLDER_WAIT_S)
                continue
            if isinstance(reply, Answered):
                await reply.exchange.read_all(limit=ERROR_BODY_LIMIT)
                self._view.failed(placement.server, now=loop.time())
                message, may_have_run = f"{host.name} failed with {reply.head.status}", True
            else:
                message, may_have_run = reply.message, reply.may_have_run
            progress.may_have_run |= may_have_run
            if loop.time() >= job.request.deadline:
                return too_late(may_have_run=progress.may_have_run)
            if not self._budget.try_spend(now=loop.time()):
                return lost(message, may_have_run=progress.may_have_run)
        return None

    def _send_hint(self, job: ChatJob, first: HostEntry, server: str) -> None:
        # A server that is down cannot take the hint.
        now = asyncio.get_running_loop().time()
        if first.name != server and self._view.available(first.name, now=now):
            self._hints.offer(first.control, chat=job.key.value, server=server)


def _queue_of(job: ChatJob) -> str:
    return f"model/{job.model}"


def _holds_cache(refusal: Refusal, host: HostEntry) -> bool:
    return refusal.reason is RefusalReason.OVER_BOUND and refusal.hint == host.name


def _extra(placement: Placement, resume_from: int | None) -> dict[str, str]:
    fields = {}
    if placement.adopt:
        fields[names.ADOPT] = "1"
    if placement.fallback:
        fields[names.FALLBACK] = "1"
    if resume_from:
        fields[names.RESUME] = str(resume_from)
    return fields
