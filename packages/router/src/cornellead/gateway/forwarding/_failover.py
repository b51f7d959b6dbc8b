"""Move of a request from a server that has stalled to one that takes it at once."""

from __future__ import annotations

import asyncio
from functools import partial
from typing import TYPE_CHECKING

import structlog

from cornellead.gateway.forwarding._successor import Successor
from cornellead.gateway.view import ServerState

if TYPE_CHECKING:
    from collections.abc import Callable

    from cornellead.gateway.forwarding._admitted_request import AdmittedRequest
    from cornellead.gateway.forwarding._attempt import Attempt
    from cornellead.gateway.forwarding._attempt_sender import AttemptSender
    from cornellead.gateway.forwarding._event_splitter import EventSplitter
    from cornellead.gateway.forwarding._request_trace import RequestTrace
    from cornellead.gateway.forwarding._retry_gate import RetryGate
    from cornellead.gateway.forwarding._server_picker import ServerPicker
    from cornellead.gateway.stats import GatewayStats
    from cornellead.gateway.view import FleetView

SEARCH_INTERVAL_S = 0.2
"""Interval at which a further server is looked for while the attempt's own one stays silent."""
MAX_CONNECT_FAILURES = 4
"""Failed connection attempts after which one search ends."""
LONG_SILENCE_S = 2.5
"""Silence after which a full server is better than the own one: sound servers are silent for about
a second, and a full one queues some requests."""


class Failover:
    """Gives a stalled attempt up once a connection for its request is open to another server.

    A silent server usually goes on after a moment, so a request whose move would fail for want of
    a server, of a retry or of an event to resume after is better left where it is. An open
    connection is no promise: the other server may still refuse the request.
    """

    def __init__(
        self,
        *,
        view: FleetView,
        picker: ServerPicker,
        sender: AttemptSender,
        gate: RetryGate,
        stats: GatewayStats,
        clock: Callable[[], float],
    ) -> None:
        self._view = view
        self._picker = picker
        self._sender = sender
        self._gate = gate
        self._stats = stats
        self._clock = clock

    def watch(
        self,
        admitted: AdmittedRequest,
        trace: RequestTrace,
        events: EventSplitter,
        attempt: Attempt,
    ) -> None:
        """Look for a successor of the attempt while it is stalled."""

        def start_search() -> None:
            if attempt.search is None or attempt.search.done():
                search = self._run_search(admitted, trace, events, attempt)
                attempt.search = asyncio.create_task(search)

        attempt.on_stalled = start_search

    async def _run_search(
        self,
        admitted: AdmittedRequest,
        trace: RequestTrace,
        events: EventSplitter,
        attempt: Attempt,
    ) -> None:
        try:
            await self._search(admitted, trace, events, attempt)
        except Exception:
            # The next check would start a search that fails in the same way.
            attempt.on_stalled = lambda: None
            trace.add_note_once("kept_search_failed")
            server = attempt.state.entry.server
            structlog.get_logger().exception(
                "search for a successor failed", request=trace.request_id, server=server
            )

    async def _search(
        self,
        admitted: AdmittedRequest,
        trace: RequestTrace,
        events: EventSplitter,
        attempt: Attempt,
    ) -> None:
        while attempt.successor is None and attempt.find_stall(now=self._clock()) is not None:
            obstacle = await self._move(admitted, trace, events, attempt)
            if obstacle is not None:
                trace.add_note_once(f"kept_{obstacle}")
                await asyncio.sleep(SEARCH_INTERVAL_S)

    async def _move(
        self,
        admitted: AdmittedRequest,
        trace: RequestTrace,
        events: EventSplitter,
        attempt: Attempt,
    ) -> str | None:
        """Give the attempt up for another server; return what prevents it."""
        find_obstacle = partial(self._find_obstacle, admitted, trace, events)
        obstacle = find_obstacle()
        if obstacle is not None:
            return obstacle
        refused: set[str] = set()
        while len(refused) < MAX_CONNECT_FAILURES:
            state = self._pick(admitted, trace, attempt, refused)
            if state is None:
                return "no_other_server"
            connection = await self._sender.open_connection(state)
            if connection is None:
                refused.add(state.entry.server)
                continue
            # Meanwhile others may have spent the budget and the server's rate, and the own server
            # may have gone on.
            now = self._clock()
            obstacle = find_obstacle()
            if obstacle is None and not self._picker.may_send(admitted, state, now=now):
                obstacle = "no_other_server"
            if obstacle is None and attempt.give_up(Successor(state, connection), now=now):
                self._picker.count_send(admitted, state, now=now)
                self._gate.try_pass(admitted, trace)
                self._log(admitted, trace, attempt, state)
            else:
                connection.release()
            return obstacle
        return "no_connection"

    def _find_obstacle(
        self, admitted: AdmittedRequest, trace: RequestTrace, events: EventSplitter
    ) -> str | None:
        if not events.resumable:
            return "events_without_id"
        return self._gate.find_obstacle(admitted, trace)

    def _pick(
        self, admitted: AdmittedRequest, trace: RequestTrace, attempt: Attempt, refused: set[str]
    ) -> ServerState | None:
        """Choose a server with a free slot that was not tried, else one that did not fail."""
        now = self._clock()
        stall = attempt.find_stall(now=now)
        avoids_full = stall is None or stall.seconds < LONG_SILENCE_S
        unfit = {
            state.entry.server
            for state in self._view.servers.listed(admitted.service.name)
            if not state.health.responsive(now=now) or (avoids_full and _is_full(state, now=now))
        }
        unfit |= refused | trace.broke_off | {attempt.state.entry.server}
        for excluded in (unfit | trace.tried, unfit):
            picked = self._picker.find(admitted, excluded=excluded, now=now)
            if isinstance(picked, ServerState):
                return picked
        return None

    def _log(
        self,
        admitted: AdmittedRequest,
        trace: RequestTrace,
        attempt: Attempt,
        successor: ServerState,
    ) -> None:
        assert attempt.stall is not None
        now = self._clock()
        listed = self._view.servers.listed(admitted.service.name)
        self._stats.count_decision("gave_up_silent")
        structlog.get_logger().info(
            "attempt given up",
            request=trace.request_id,
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
