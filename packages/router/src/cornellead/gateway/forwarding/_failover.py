"""Move of a request from a server that has stalled to one that takes it."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import structlog

from cornellead.gateway.forwarding._search_timing import LONG_SILENCE_S
from cornellead.gateway.forwarding._search_timing import MAX_CONNECT_FAILURES
from cornellead.gateway.forwarding._search_timing import REFUSAL_MEMORY_S
from cornellead.gateway.forwarding._search_timing import SEARCH_INTERVAL_S
from cornellead.gateway.view import ServerState
from cornellead_core.routing import RequestKind

if TYPE_CHECKING:
    from collections.abc import Callable

    from cornellead.gateway.forwarding._attempt import Attempt
    from cornellead.gateway.forwarding._attempt_runner import AttemptRunner
    from cornellead.gateway.forwarding._attempt_sender import AttemptSender
    from cornellead.gateway.forwarding._request_context import RequestContext
    from cornellead.gateway.forwarding._response_relay import ResponseRelay
    from cornellead.gateway.forwarding._retry_gate import RetryGate
    from cornellead.gateway.forwarding._server_picker import ServerPicker
    from cornellead.gateway.stats import GatewayStats
    from cornellead.gateway.view import FleetView
    from cornellead.upstream import Connection

MAX_OVERLAP_S = 0.3
"""Time after the send to a successor at which the stalled attempt is given up even if the successor
has not begun to answer. A server that is full refuses within a round trip."""
MAX_STREAM_OVERLAP_S = 0.02
"""The same for streams, on which two model servers would compute the same tokens."""


class Failover:
    """Gives a stalled attempt up once another server has taken its request.

    A silent server usually goes on after a moment, so a request whose move would fail for want of
    a server, of a retry or of an event to resume after is better left where it is. A server that
    accepts a connection may still refuse the request, so the stalled attempt is kept until the
    other server begins to answer, or for a short overlap.
    """

    def __init__(
        self,
        *,
        view: FleetView,
        picker: ServerPicker,
        sender: AttemptSender,
        relay: ResponseRelay,
        runner: AttemptRunner,
        gate: RetryGate,
        stats: GatewayStats,
        clock: Callable[[], float],
    ) -> None:
        self._view = view
        self._picker = picker
        self._sender = sender
        self._relay = relay
        self._runner = runner
        self._gate = gate
        self._stats = stats
        self._clock = clock

    def watch(self, context: RequestContext, attempt: Attempt) -> None:
        """Look for a successor of the attempt while it is stalled."""

        def start_search() -> None:
            if attempt.search is None or attempt.search.done():
                attempt.search = asyncio.create_task(self._run_search(context, attempt))

        attempt.on_stalled = start_search

    async def _run_search(self, context: RequestContext, attempt: Attempt) -> None:
        try:
            await self._search(context, attempt)
        except Exception:
            # The next check would start a search that fails in the same way.
            attempt.on_stalled = lambda: None
            context.trace.add_note_once("kept_search_failed")
            structlog.get_logger().exception(
                "search for a successor failed",
                request=context.trace.request_id,
                server=attempt.state.entry.server,
            )
            if attempt.stall is None:
                self._runner.drop_successor(context, attempt)

    async def _search(self, context: RequestContext, attempt: Attempt) -> None:
        refusals: dict[str, float] = {}
        while attempt.successor is None and attempt.find_stall(now=self._clock()) is not None:
            obstacle = await self._move(context, attempt, refusals)
            if obstacle is not None:
                context.trace.add_note_once(f"kept_{obstacle}")
                await asyncio.sleep(SEARCH_INTERVAL_S)

    async def _move(
        self, context: RequestContext, attempt: Attempt, refusals: dict[str, float]
    ) -> str | None:
        """Give the attempt up for another server; return what prevents it.

        :param refusals: Servers that refused the request, and when.
        """
        obstacle = self._find_obstacle(context, attempt)
        if obstacle is not None:
            return obstacle
        unreachable: set[str] = set()
        while len(unreachable) < MAX_CONNECT_FAILURES:
            state = self._pick(context, attempt, unreachable, refusals)
            if state is None:
                return "no_other_server"
            connection = await self._sender.open_connection(state)
            if connection is None:
                unreachable.add(state.entry.server)
                continue
            # Meanwhile others may have spent the budget and the server's rate, and the own server
            # may have gone on.
            now = self._clock()
            obstacle = self._find_obstacle(context, attempt)
            if obstacle is None and not self._picker.may_send(context.admitted, state, now=now):
                obstacle = "no_other_server"
            if obstacle is not None or not attempt.waits_in_vain(now=now):
                connection.release()
                return obstacle
            obstacle = await self._send(context, attempt, state, connection)
            if obstacle is not None:
                refusals[state.entry.server] = self._clock()
            return obstacle
        return "no_connection"

    async def _send(
        self,
        context: RequestContext,
        attempt: Attempt,
        state: ServerState,
        connection: Connection,
    ) -> str | None:
        """Send the request to another server, and give the attempt up if that one takes it."""
        successor = await self._runner.start(context, state, reserved=connection)
        if successor is None:
            connection.release()
            return "no_connection"
        attempt.successor = successor
        self._picker.count_send(context.admitted, state, now=self._clock())
        self._gate.spend(context.admitted)
        return_retry = context.return_retry
        reserved = return_retry.reserve(attempt.find_stall(now=self._clock()))
        streaming = context.admitted.route.kind is RequestKind.STREAMING
        exchange = successor.exchange
        await exchange.wait_for_head(timeout_s=MAX_STREAM_OVERLAP_S if streaming else MAX_OVERLAP_S)
        head = exchange.received_head
        answers = head is None or self._relay.is_answer(context.admitted, head)
        if exchange.broken or not answers:
            attempt.successor = None
            if reserved:
                return_retry.release()
            await self._runner.end_failed(context, successor)
            return "refused"
        if attempt.give_up(now=self._clock()):
            assert attempt.stall is not None
            return_retry.record_leave(attempt.state, attempt.stall)
            self._log(context, attempt, state)
        elif not attempt.exchange.broken:
            self._runner.drop_successor(context, attempt)
            if reserved:
                return_retry.release()
        return None

    def _find_obstacle(self, context: RequestContext, attempt: Attempt) -> str | None:
        if not context.events.resumable:
            return "events_without_id"
        # One for the move, and one for the return if the other server refuses late.
        retries = 2 if context.return_retry.needed(attempt.find_stall(now=self._clock())) else 1
        return self._gate.find_obstacle(context.admitted, context.trace, retries=retries)

    def _pick(
        self,
        context: RequestContext,
        attempt: Attempt,
        unreachable: set[str],
        refusals: dict[str, float],
    ) -> ServerState | None:
        """Choose a server with a free slot that was not tried, else one that did not fail."""
        admitted, trace = context.admitted, context.trace
        now = self._clock()
        stall = attempt.find_stall(now=now)
        avoids_full = stall is None or stall.seconds < LONG_SILENCE_S
        unfit = {
            state.entry.server
            for state in self._view.servers.listed(admitted.service.name)
            if not state.health.responsive(now=now) or (avoids_full and _is_full(state, now=now))
        }
        unfit |= {server for server, at in refusals.items() if now - at < REFUSAL_MEMORY_S}
        unfit |= unreachable | trace.broke_off | {attempt.state.entry.server}
        for excluded in (unfit | trace.tried, unfit):
            picked = self._picker.find(admitted, excluded=excluded, now=now)
            if isinstance(picked, ServerState):
                return picked
        return None

    def _log(self, context: RequestContext, attempt: Attempt, successor: ServerState) -> None:
        assert attempt.stall is not None
        now = self._clock()
        listed = self._view.servers.listed(context.admitted.service.name)
        self._stats.count_decision("gave_up_silent")
        structlog.get_logger().info(
            "attempt given up",
            request=context.trace.request_id,
            server=attempt.state.entry.server,
            successor=successor.entry.server,
            awaited=attempt.stall.awaited,
            silent_ms=round(attempt.stall.seconds * 1000),
            begun=attempt.has_head,
            silent_servers=sum(1 for state in listed if not state.health.responsive(now=now)),
            listed_servers=len(listed),
        )


def _is_full(state: ServerState, *, now: float) -> bool:
    load, slots = state.reported_load(now=now), state.entry.slots
    return load is not None and 0 < slots <= load
