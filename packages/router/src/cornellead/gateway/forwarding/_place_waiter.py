"""Waiting of requests for a place at a server."""

from __future__ import annotations

import asyncio
from itertools import count
from typing import TYPE_CHECKING

import structlog

from cornellead.gateway.ingress import ServingPhase
from cornellead.gateway.policy import MIN_BACKLOG
from cornellead.gateway.policy import HeldRequest
from cornellead.gateway.policy import PlaceQueue
from cornellead.gateway.policy import ServerLoad
from cornellead.gateway.policy import count_places
from cornellead.gateway.policy import mostly_idle
from cornellead.gateway.view import REPORTED_LOAD_FRESH_S
from cornellead.gateway.view import REPORTED_LOAD_MAX_AGE_S
from cornellead.gateway.view import QueueReports
from cornellead_core.buffers import BufferBudget
from cornellead_core.buffers import BufferOwner
from cornellead_core.routing import RequestKind

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

    from cornellead.gateway.forwarding._admitted_request import AdmittedRequest
    from cornellead.gateway.forwarding._request_context import RequestContext
    from cornellead.gateway.forwarding._server_picker import ServerPicker
    from cornellead.gateway.ingress import ServingState
    from cornellead.gateway.stats import GatewayStats
    from cornellead.gateway.view import FleetView
    from cornellead.gateway.view import ServerState

MAX_HOLD_SHARE = 0.5
"""Maximum time in the queue as a fraction of the time for which the caller waits; the rest is left
for the response."""
MIN_PATIENCE_S = 2.0
"""Time without an event after which callers abandon a stream, at least."""
PATIENCE_TARGETS = 4.0
"""The same in multiples of the latency target."""
PATIENCE_GAPS = 8.0
"""The same in multiples of the target for the time between events."""
CHECK_INTERVAL_S = 0.02
"""Interval at which queues are checked for changes of servers and of what other routers do: an
eighth of the shortest latency targets, which callers may be held for free."""
BACKLOG_TARGET_SHARE = 0.25
"""Wait in the queue of a server that is accepted to keep its slots busy, as a fraction of the
latency target."""
LATENCY_MARGIN = 1.5
"""Time from a send to the first byte that is expected, as a multiple of the mean."""
MIN_WAIT_S = 0.1
"""Expected wait of a request that made room for others, at least: the rate of places may not be
known yet, and callers that return at once would be refused again."""
MAX_REPORT_INTERVAL_S = 0.6
"""Maximum time between two load reports of the same router. With reports that are seconds old, the
shares of the places leave slots idle, and fewer requests are in time than without a queue."""
QUEUE_RETENTION_S = 60.0
"""Time for which an empty queue is kept: its shares of teams have decayed long before."""
LOG_INTERVAL_S = 5.0
"""Minimum time between two log lines: queues may form and empty many times a second."""
MAX_HELD_BYTES = 8 << 20
"""Bodies of all requests in the queues together: a twenty-fifth of the memory of the smallest
hosts, which have 200 MB."""

Line = tuple[str, frozenset[str]]
"""Service, and the regions whose servers may run the requests."""


class _Ticket:
    """A waiting request, and the future of its verdict."""

    def __init__(self, *, held: HeldRequest, admitted: AdmittedRequest) -> None:
        self.held = held
        self.admitted = admitted
        self.verdict: asyncio.Future[str] = asyncio.get_running_loop().create_future()

    def resolve(self, verdict: str) -> None:
        """End the wait, unless it has ended."""
        if not self.verdict.done():
            self.verdict.set_result(verdict)

    def drop_buffer(self) -> None:
        """Refuse the request, since the bodies of waiting requests take too much memory."""
        self.resolve("queue_refused_bytes")


PLACED = "queue_placed"
STOPPED = "queue_stopped"


class PlaceWaiter:
    """Holds requests while no server of their service has a place, and wakes them in order.

    Nothing is held for a service whose servers state no slots or no load, nor while the load
    reports of many other routers are missing: then servers queue the requests, as without this
    queue.
    Model servers order their queues by urgency themselves, and a chat waits for its own server, so
    their requests are not held: it served the most urgent ones worse (docs/design/queue.md).
    """

    def __init__(
        self,
        *,
        view: FleetView,
        serving: ServingState,
        picker: ServerPicker,
        stats: GatewayStats,
        clock: Callable[[], float],
    ) -> None:
        self._view = view
        self._serving = serving
        self._picker = picker
        self._stats = stats
        self._clock = clock
        self._queues: dict[Line, PlaceQueue] = {}
        self._tickets: dict[Line, dict[int, _Ticket]] = {}
        self._numbers = count()
        self._budget = BufferBudget(limit_bytes=MAX_HELD_BYTES)
        self.includes_model_servers = False
        """Whether requests to model servers are held too, for measurements."""
        self._logged_at = float("-inf")
        self._check: asyncio.TimerHandle | None = None
        self.reports = QueueReports(router=view.router)
        self.reports.read_held = self.read_held

    @property
    def held(self) -> int:
        """Number of waiting requests."""
        return sum(map(len, self._tickets.values()))

    def read_held(self) -> dict[str, dict[int, int]]:
        """Return the number of waiting requests by service and urgency."""
        held: dict[str, dict[int, int]] = {}
        for (service, _), queue in self._queues.items():
            counts = held.setdefault(service, {}) if len(queue) else {}
            for urgency, number in queue.counts().items():
                counts[urgency] = counts.get(urgency, 0) + number
        return held

    async def hold(self, context: RequestContext) -> float | None:
        """Wait until the request may be sent.

        :returns: ``None`` if it may be sent, else the seconds after which a place is expected.
        """
        admitted, now = context.admitted, self._clock()
        if admitted.service.kv_capacity_tokens and not self.includes_model_servers:
            return None
        line = (admitted.service.name, admitted.regions)
        queue = self._queues.get(line)
        if not queue and not self._is_contended(admitted, now=now):
            return None
        if queue is None:
            self._evict_unused(now=now)
            queue = self._queues[line] = PlaceQueue()
        held = self._make_held(admitted, now=now)
        wait_s = queue.expected_wait_s(held, now=now)
        if now + wait_s >= held.give_up_at and not self._mostly_idle(admitted, now=now):
            self._stats.count_decision("queue_refused_wait")
            return wait_s
        ticket = _Ticket(held=held, admitted=admitted)
        self._tickets.setdefault(line, {})[held.number] = ticket
        dropped = queue.add(held, now=now)
        if dropped is not None:
            self._resolve(line, [dropped], "queue_refused_full")
        size = len(admitted.req.body)
        self._budget.record(ticket, size, owner=BufferOwner(service=admitted.team))
        try:
            self._advance(line, now=now)
            self._schedule_check()
            verdict = await ticket.verdict
        finally:
            queue.remove(held)
            self._tickets[line].pop(held.number, None)
            self._budget.record(ticket, 0, owner=BufferOwner(service=admitted.team))
        waited_s = self._clock() - now
        if waited_s > 0:
            context.trace.add_note(f"held_{waited_s * 1000:.0f}ms")
        self._stats.count_decision(verdict)
        if verdict in (PLACED, STOPPED):
            return None
        return max(queue.expected_wait_s(held, now=self._clock()), waited_s, MIN_WAIT_S)

    def wake(self, service: str, ended_at: ServerState | None = None) -> None:
        """Look for places of a service, after a response or the end of an own request.

        :param ended_at: Server at which the request ended.
        """
        for line, queue in self._queues.items():
            if line[0] != service or not queue:
                continue
            now = self._clock()
            if ended_at is not None:
                admitted = next(iter(self._tickets[line].values())).admitted
                load = self._read_load(ended_at, admitted, now=now)
                if count_places([load]).total > 0:
                    queue.record_end()
            self._advance(line, now=now)

    def _make_held(self, admitted: AdmittedRequest, *, now: float) -> HeldRequest:
        route, attempts = admitted.route, admitted.attempts
        patience_s = attempts.time_left_s(now=now)
        if route.kind is RequestKind.STREAMING:
            patience_s = min(
                patience_s,
                max(
                    MIN_PATIENCE_S,
                    PATIENCE_TARGETS * route.target_latency_s,
                    PATIENCE_GAPS * route.target_gap_s,
                ),
            )
        latencies = [state.health.latency_s for state in self._picker.in_force(admitted)]
        return HeldRequest(
            number=next(self._numbers),
            team=admitted.team,
            urgency=admitted.urgency,
            late_at=admitted.req.received_at + route.target_latency_s - min(latencies, default=0.0),
            give_up_at=now + MAX_HOLD_SHARE * patience_s,
        )

    def _is_contended(self, admitted: AdmittedRequest, *, now: float) -> bool:
        if self._serving.phase >= ServingPhase.REFUSING:
            return False
        servers = self._fit_servers(admitted, now=now)
        if not self._knows_places(servers, now=now):
            return False
        if self._serves_urgent_elsewhere(admitted, servers, now=now):
            return True
        # In calm the first server has a place, so that nothing is estimated for the others.
        loads = (self._read_load(s, admitted, now=now) for s in servers)
        return all(load.load >= load.slots + load.backlog for load in loads)

    def _serves_urgent_elsewhere(
        self, admitted: AdmittedRequest, servers: list[ServerState], *, now: float
    ) -> bool:
        """Return whether more urgent requests of other routers need all places."""
        if not self.reports:
            return False
        others = self.reports.others(
            admitted.service.name, heard_share=self._heard_share(now), now=now
        )
        preceding = sum(held for urgency, held in others.items() if urgency < admitted.urgency)
        if not preceding:
            return False
        loads = self._read_loads(servers, admitted, now=now)
        return count_places(loads).total <= preceding

    def _read_loads(
        self, servers: Iterable[ServerState], admitted: AdmittedRequest, *, now: float
    ) -> list[ServerLoad]:
        return [self._read_load(state, admitted, now=now) for state in servers]

    def _read_load(
        self, state: ServerState, admitted: AdmittedRequest, *, now: float
    ) -> ServerLoad:
        health, slots = state.health, state.entry.slots
        duration_s = health.stream_duration_s or health.latency_s
        max_age_s = min(REPORTED_LOAD_MAX_AGE_S, max(REPORTED_LOAD_FRESH_S, duration_s))
        load = state.reported_load(now=now, max_age_s=max_age_s)
        if load is None and duration_s < REPORTED_LOAD_MAX_AGE_S / 2:
            # Reports of other routers are older than such work lasts. The slots are taken to be
            # in use, and the server is asked with the few requests that it may queue.
            load = float(slots)
        if load is None:
            routers = len(self._view.routers(now=now))
            load = state.load(self._view.load, routers=routers, now=now)
        backlog_s = BACKLOG_TARGET_SHARE * admitted.route.target_latency_s
        backlog = slots * backlog_s / duration_s if duration_s > 0 else 0.0
        return ServerLoad(load, slots, max(MIN_BACKLOG, min(slots, backlog)))

    def _fit_servers(self, admitted: AdmittedRequest, *, now: float) -> list[ServerState]:
        return [
            state
            for state in self._picker.in_force(admitted)
            if state.paused_until <= now and state.health.responsive(now=now)
        ]

    def _mostly_idle(self, admitted: AdmittedRequest, *, now: float) -> bool:
        return mostly_idle(
            self._read_loads(self._fit_servers(admitted, now=now), admitted, now=now)
        )

    def _knows_places(self, servers: list[ServerState], *, now: float) -> bool:
        """Return whether the servers state slots and load, and other routers are heard."""
        return (
            any(state.reported_load(now=now) is not None for state in servers)
            and all(state.entry.slots > 0 for state in servers)
            and self._hears_others(now=now)
        )

    def _evict_unused(self, *, now: float) -> None:
        """Remove the queues of services that have not been contended for some time."""
        for line, queue in list(self._queues.items()):
            if not self._tickets.get(line) and now - queue.used_at > QUEUE_RETENTION_S:
                del self._queues[line]
                self._tickets.pop(line, None)

    def _hears_others(self, *, now: float) -> bool:
        if len(self._view.routers(now=now)) == 1:
            return True
        return len(self._view.load) > 0 and self._view.load.interval_s <= MAX_REPORT_INTERVAL_S

    def _advance(self, line: Line, *, now: float) -> None:
        """Give places and refusals to the requests of a queue."""
        queue, tickets = self._queues[line], self._tickets.get(line, {})
        if not tickets:
            return
        if self._serving.phase >= ServingPhase.REFUSING:
            self._resolve(line, queue.take_all(), STOPPED)
            return
        admitted = next(iter(tickets.values())).admitted
        servers = self._fit_servers(admitted, now=now)
        if not self._knows_places(servers, now=now):
            self._resolve(line, queue.take_all(), PLACED)
            return
        others = self.reports.others(line[0], heard_share=self._heard_share(now), now=now)
        loads = self._read_loads(servers, admitted, now=now)
        self._resolve(line, queue.take_ready(loads, others, now=now), PLACED)
        # What others hold may be wrong or out of date: idle servers are no reason to refuse.
        verdict = PLACED if mostly_idle(loads) else "queue_gave_up"
        self._resolve(line, queue.take_expired(now=now), verdict)

    def _heard_share(self, now: float) -> float:
        others = len(self._view.routers(now=now)) - 1
        return len(self._view.load) / others if others else 1.0

    def _resolve(self, line: Line, held: Iterable[HeldRequest], verdict: str) -> None:
        tickets = self._tickets.get(line, {})
        for req in held:
            ticket = tickets.get(req.number)
            if ticket is not None:
                ticket.resolve(verdict)

    def _schedule_check(self) -> None:
        if self._check is None:
            now = self._clock()
            if now - self._logged_at >= LOG_INTERVAL_S:
                self._logged_at = now
                structlog.get_logger().info("requests held for a place", held=self.read_held())
            loop = asyncio.get_running_loop()
            self._check = loop.call_later(CHECK_INTERVAL_S, self._check_all)

    def _check_all(self) -> None:
        self._check = None
        now = self._clock()
        for line in list(self._queues):
            self._advance(line, now=now)
        if self.held:
            self._schedule_check()
