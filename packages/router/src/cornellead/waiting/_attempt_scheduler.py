"""Retries queued requests in turn until their deadline."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING
from typing import TypeVar

from cornellead.errors import ApiError
from cornellead.errors import deadline_error
from cornellead.errors import unavailable_error
from cornellead.errors import upstream_error

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    from cornellead.dispatch._request_state import RequestState
    from cornellead.waiting._wait_queue import Ticket
    from cornellead.waiting._wait_queues import WaitQueues
    from cornellead_core.config import Priority
    from cornellead_core.config import TeamPolicy
    from cornellead_core.metrics import LatencyHistogram

T = TypeVar("T")

TURN_TIMEOUT_S = 0.02
"""Time after which an attempt without a response yields its turn to the next request. Agents refuse
faster than this, so the request was most likely admitted and waits for its server. Without the
limit, a router would place only one queued request per time to first token."""


class AttemptScheduler:
    """Schedules the attempts of requests.

    The first attempt is made at once unless other requests are queued. Further attempts are made
    whenever the request is at the head of its queue and is woken.
    """

    def __init__(self, *, wait_queues: WaitQueues, wait_latency: LatencyHistogram) -> None:
        self._wait_queues = wait_queues
        self._wait_latency = wait_latency

    def wake(self, queue: str) -> None:
        """Let the first request of a queue try, because a server may have capacity again."""
        self._wait_queues.wake(queue)

    async def run_attempts(
        self,
        attempt: Callable[[], Awaitable[T | None]],
        *,
        queue: str,
        team: TeamPolicy,
        priority: Priority,
        deadline: float,
        state: RequestState,
        skip_queue: bool = False,
    ) -> T | ApiError:
        """Repeat an attempt until it returns a result other than ``None``.

        :param attempt: Returns ``None`` if no server has capacity for the request.
        :param queue: Name of the queue; its requests compete for the same servers.
        :param deadline: Event loop time in seconds.
        :param skip_queue: Make the first attempt even if other requests are queued.
        :returns: The result of the attempt, or the error for the caller.
        """
        if skip_queue or not self._wait_queues.must_queue(queue, priority):
            result = await attempt()
            if result is not None:
                return result
        weight = max(1, team.concurrent_requests)
        ticket = self._wait_queues.enqueue(queue, team=team.name, weight=weight, priority=priority)
        if ticket is None:
            return _overload_error(state)
        loop = asyncio.get_running_loop()
        queued_at = loop.time()
        result = None
        try:
            while result is None:
                if not await self._wait_queues.wait_turn(queue, ticket, deadline=deadline):
                    if loop.time() >= deadline:
                        return deadline_error(may_have_run=state.may_have_run)
                    return _overload_error(state)
                result = await self._attempt_with_turn(attempt, queue, ticket)
        finally:
            self._wait_queues.dequeue(queue, ticket, served=result is not None)
            waited_s = loop.time() - queued_at
            self._wait_latency.record(waited_s)
            state.waited_s += waited_s
        return result

    async def _attempt_with_turn(
        self, attempt: Callable[[], Awaitable[T | None]], queue: str, ticket: Ticket
    ) -> T | None:
        loop = asyncio.get_running_loop()
        timer = loop.call_later(TURN_TIMEOUT_S, self._wait_queues.yield_turn, queue, ticket)
        try:
            return await attempt()
        finally:
            timer.cancel()


def _overload_error(state: RequestState) -> ApiError:
    message = "all servers are at their limits; retry later"
    if state.may_have_run:
        return upstream_error(message, may_have_run=True)
    return unavailable_error("overloaded", message)
