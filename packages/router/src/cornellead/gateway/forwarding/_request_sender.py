"""Sends a request to servers in turn until it is answered or nothing is left to try."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from cornellead.gateway.forwarding._outcome import BrokenResponse
from cornellead.gateway.forwarding._outcome import NotRunResponse
from cornellead.gateway.forwarding._refused_stream import RefusedStream
from cornellead.gateway.forwarding._retry_gate import NO_RETRY_BUDGET
from cornellead.gateway.forwarding._retry_gate import STOPPING
from cornellead.gateway.forwarding._send_sequence import SendSequence
from cornellead.gateway.forwarding._send_sequence import SendStep
from cornellead.gateway.forwarding._server_picker import NoServer
from cornellead.gateway.view import ServerState

if TYPE_CHECKING:
    from collections.abc import Callable

    from cornellead.gateway.forwarding._attempt import Attempt
    from cornellead.gateway.forwarding._attempt_runner import AttemptRunner
    from cornellead.gateway.forwarding._attempt_sender import AttemptSender
    from cornellead.gateway.forwarding._failover import Failover
    from cornellead.gateway.forwarding._place_waiter import PlaceWaiter
    from cornellead.gateway.forwarding._request_context import RequestContext
    from cornellead.gateway.forwarding._retry_gate import RetryGate
    from cornellead.gateway.forwarding._server_picker import ServerPicker
    from cornellead.gateway.stats import GatewayStats
    from cornellead.gateway.view import FleetView

COLD_WAIT_SHARE = 0.25
"""Maximum wait for the rate limit of a cold server, as a fraction of the latency target."""


class RequestSender:
    """Performs the steps of `SendSequence` for one request after the other."""

    def __init__(
        self,
        *,
        view: FleetView,
        picker: ServerPicker,
        sender: AttemptSender,
        runner: AttemptRunner,
        failover: Failover,
        gate: RetryGate,
        places: PlaceWaiter,
        stats: GatewayStats,
        clock: Callable[[], float],
    ) -> None:
        self._view = view
        self._picker = picker
        self._sender = sender
        self._runner = runner
        self._failover = failover
        self._gate = gate
        self._places = places
        self._stats = stats
        self._clock = clock

    async def run(self, context: RequestContext) -> SendSequence:
        """Send a request until it is answered, or until the deadline, the attempts or the retry
        budget are used up; return how that ended."""
        sequence = SendSequence()
        # Requests wait before their first send only: a retry or a returning stream has waited.
        wait_s = await self._places.hold(context)
        if wait_s is not None:
            sequence.stop(wait_s=wait_s)
        refused = RefusedStream(context=context, clock=self._clock)
        attempt: Attempt | None = None
        picked: ServerState | None = None
        while sequence.step is not SendStep.DONE:
            match sequence.step:
                case SendStep.CHECK if self._time_is_over(context):
                    sequence.stop()
                case SendStep.CHECK:
                    await self._check(context, sequence, refused)
                case SendStep.CHOOSE:
                    picked = await self._choose(context, sequence, refused)
                case SendStep.CONNECT:
                    assert picked is not None
                    attempt = await self._connect(context, sequence, picked)
                case SendStep.RELAY:
                    assert attempt is not None
                    attempt = await self._relay(context, sequence, refused, attempt)
                    if attempt is not None and self._time_is_over(context):
                        self._sender.finish(attempt)
                        sequence.stop()
        return sequence

    def _time_is_over(self, context: RequestContext) -> bool:
        return context.admitted.attempts.time_left_s(now=self._clock()) <= 0

    async def _check(
        self, context: RequestContext, sequence: SendSequence, refused: RefusedStream
    ) -> None:
        admitted, trace = context.admitted, context.trace
        if not self._gate.allows_send(admitted):
            trace.add_note(STOPPING)
            sequence.stop()
            return
        if sequence.needs_retry(sends=admitted.attempts.sends):
            if not self._may_retry(context, sequence):
                obstacle = self._gate.find_obstacle(admitted, trace)
                if obstacle == NO_RETRY_BUDGET and await refused.wait():
                    sequence.record_waited()
                else:
                    sequence.stop()
                return
            sequence.record_retry_paid()
        if not context.events.resumable:
            trace.add_note("events_without_id")
            sequence.stop()
            return
        sequence.allow_send()

    async def _choose(
        self, context: RequestContext, sequence: SendSequence, refused: RefusedStream
    ) -> ServerState | None:
        picked = self._pick_origin(context) or await self._pick_server(
            context, excluded=refused.excluded()
        )
        if isinstance(picked, NoServer):
            self._record_no_server(context, picked)
            if await refused.wait():
                sequence.record_waited()
            else:
                sequence.stop(wait_s=picked.wait_s)
            return None
        if not self._gate.allows_send(context.admitted):
            # The stop began to refuse requests while this one waited for its server.
            sequence.stop()
            return None
        sequence.record_chosen()
        return picked

    async def _connect(
        self, context: RequestContext, sequence: SendSequence, picked: ServerState
    ) -> Attempt | None:
        attempt = await self._runner.start(context, picked)
        if attempt is None:
            context.return_retry.forget_origin(picked.entry.server)
            sequence.record_unreachable()
            return None
        sequence.record_sent()
        return attempt

    async def _relay(
        self,
        context: RequestContext,
        sequence: SendSequence,
        refused: RefusedStream,
        attempt: Attempt,
    ) -> Attempt | None:
        """Relay the response of an attempt, and return its successor if there is one."""
        context.return_retry.record_send()
        self._failover.watch(context, attempt)
        service = context.admitted.service.name

        def record_head() -> None:
            context.return_retry.release()
            self._places.wake(service)

        attempt.on_head = record_head
        outcome = await self._runner.run(context, attempt)
        self._places.wake(service, ended_at=attempt.state)
        sequence.record_outcome(outcome, has_successor=attempt.successor is not None)
        if sequence.delivered is not None:
            context.trace.set_result(sequence.delivered.status, "delivered")
            return None
        if isinstance(outcome, BrokenResponse):
            context.events.restart()
        if isinstance(outcome, NotRunResponse):
            refused.record_refusal(attempt.state.entry.server)
        else:
            refused.record_taken()
        return attempt.successor

    def _record_no_server(self, context: RequestContext, result: NoServer) -> None:
        context.trace.add_note_once(f"no_server_of_{result.usable_servers}")
        if result.rate_limited:
            context.trace.add_note_once("rate_limited")
            self._stats.count_decision("rate_limited")

    def _may_retry(self, context: RequestContext, sequence: SendSequence) -> bool:
        admitted, return_retry = context.admitted, context.return_retry
        if sequence.fallback is not None and not admitted.route.repeatable:
            return False
        if return_retry.origin_recovered and return_retry.try_return():
            return True
        return self._gate.try_pass(admitted, context.trace) or return_retry.try_return()

    def _pick_origin(self, context: RequestContext) -> ServerState | None:
        """Return the server that the stream left, if it returns there and may be sent."""
        admitted, origin = context.admitted, context.return_retry.origin
        if origin is None:
            return None
        listed = self._view.servers.listed(admitted.service.name)
        others = {state.entry.server for state in listed} - {origin}
        picked = self._picker.pick(admitted, tried=(), excluded=others, now=self._clock())
        return picked if isinstance(picked, ServerState) else None

    async def _pick_server(
        self, context: RequestContext, *, excluded: set[str]
    ) -> ServerState | NoServer:
        admitted = context.admitted
        hold_until = self._clock() + COLD_WAIT_SHARE * admitted.route.target_latency_s
        while True:
            picked = self._picker.pick(
                admitted, tried=context.trace.tried, excluded=excluded, now=self._clock()
            )
            if isinstance(picked, ServerState):
                if self._picker.avoided and admitted.affinity:
                    context.trace.add_note_once(f"prompt_avoids_{len(self._picker.avoided)}")
                    self._stats.count_decision("prompt_avoids_server")
                return picked
            if picked.next_send_at is None or picked.next_send_at > hold_until:
                return picked
            await asyncio.sleep(max(0.001, picked.next_send_at - self._clock()))
