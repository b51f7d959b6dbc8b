"""Attempts of a request from their send to their outcome."""

from __future__ import annotations

import asyncio
from functools import partial
from typing import TYPE_CHECKING

from cornellead.gateway.forwarding._outcome import BrokenResponse
from cornellead.gateway.forwarding._outcome import DeliveredResponse
from cornellead.gateway.forwarding._outcome import NotRunResponse

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    from cornellead.gateway.forwarding._admitted_request import AdmittedRequest
    from cornellead.gateway.forwarding._attempt import Attempt
    from cornellead.gateway.forwarding._attempt_sender import AttemptSender
    from cornellead.gateway.forwarding._crash_watch import CrashWatch
    from cornellead.gateway.forwarding._outcome import AttemptOutcome
    from cornellead.gateway.forwarding._request_context import RequestContext
    from cornellead.gateway.forwarding._response_relay import ResponseRelay
    from cornellead.gateway.forwarding._server_picker import ServerPicker
    from cornellead.gateway.view import FleetView
    from cornellead.gateway.view import ServerState
    from cornellead.upstream import Connection

CLIENT_ERROR = 400


class AttemptRunner:
    """Starts attempts, relays their responses, and records what the outcomes tell."""

    def __init__(
        self,
        *,
        view: FleetView,
        picker: ServerPicker,
        sender: AttemptSender,
        relay: ResponseRelay,
        crashes: CrashWatch,
        clock: Callable[[], float],
    ) -> None:
        self._view = view
        self._picker = picker
        self._sender = sender
        self._relay = relay
        self._crashes = crashes
        self._clock = clock

    async def start(
        self, context: RequestContext, state: ServerState, *, reserved: Connection | None = None
    ) -> Attempt | None:
        """Send the request to a server.

        :param reserved: Connection that was opened for the request.
        :returns: ``None`` if no connection could be opened; then nothing was sent.
        """
        admitted, trace = context.admitted, context.trace
        source = self._picker.prompt_source(admitted, state, now=self._clock())
        if source is not None:
            trace.add_note(f"fetch_from_{source.entry.server}")
        admitted.attempts.count_send()
        try:
            attempt = await self._sender.send(
                admitted,
                state,
                source=source,
                last_event_id=context.events.last_event_id,
                reserved=reserved,
            )
        except asyncio.CancelledError:
            # Nothing was written: the sender awaits the connection only, and then writes.
            admitted.attempts.count_unsent()
            trace.add_attempt(state.entry.server, "no_connection")
            raise
        if attempt is None:
            admitted.attempts.count_unsent()
            trace.add_attempt(state.entry.server, "no_connection")
            return None
        self._picker.rollouts.record_sent(admitted)
        attempt.on_answered = partial(self._crashes.record_answer, admitted)
        self._picker.start_prompt(admitted, state, attempt.attempt_id, now=self._clock())
        attempt.on_first_event = partial(self._end_prefill, attempt)
        return attempt

    def _end_prefill(self, attempt: Attempt) -> None:
        self._picker.end_prefill(attempt.state, attempt.attempt_id, now=self._clock())

    async def run(self, context: RequestContext, attempt: Attempt) -> AttemptOutcome:
        """Relay the response of an attempt and end it.

        Only one attempt of a request is relayed at a time. Its successor is kept if it can go on
        where this attempt ended, and aborted otherwise.
        """
        response = self._relay.relay(context.admitted, attempt, context.events, context.out)
        return await self._end(context, attempt, response)

    async def end_failed(self, context: RequestContext, attempt: Attempt) -> None:
        """End an attempt that failed while another one serves the caller."""
        await self._end(context, attempt, self._relay.read_failure(context.admitted, attempt))

    async def _end(
        self, context: RequestContext, attempt: Attempt, response: Awaitable[AttemptOutcome]
    ) -> AttemptOutcome:
        """Wait for the outcome of an attempt, and record what it tells."""
        admitted, trace = context.admitted, context.trace
        name = attempt.state.entry.server
        try:
            outcome = await response
            if isinstance(outcome, BrokenResponse):
                self._record_break(context, attempt)
            elif _proves_answer(outcome):
                attempt.record_answered()
        except BaseException:
            trace.add_attempt(name, "cancelled")
            self._picker.rollouts.record_outcome(admitted, attempt, None, now=self._clock())
            self.drop_successor(context, attempt)
            raise
        finally:
            self._sender.finish(attempt)
        if isinstance(outcome, NotRunResponse):
            admitted.attempts.count_not_run()
        delivered = isinstance(outcome, DeliveredResponse)
        if not isinstance(outcome, DeliveredResponse) or outcome.proven:
            self._record_evidence(admitted, attempt, outcome)
        trace.add_attempt(name, _outcome_label(outcome))
        if delivered or not _can_go_on(context, attempt.successor):
            self.drop_successor(context, attempt)
        return outcome

    def _record_break(self, context: RequestContext, attempt: Attempt) -> None:
        trace, state = context.trace, attempt.state
        trace.broke_off.add(state.entry.server)
        if attempt.cut_by_server:
            state.broke_off_at = self._clock()
        if attempt.broken_by_server:
            trace.unanswered_breaks += 1
            self._crashes.record_broken(context.admitted, attempt)

    def _record_evidence(
        self, admitted: AdmittedRequest, attempt: Attempt, outcome: AttemptOutcome
    ) -> None:
        """Record what an outcome tells about the server's health, version and cached prompts."""
        now, state = self._clock(), attempt.state
        self._picker.rollouts.record_outcome(admitted, attempt, outcome, now=now)
        ok = isinstance(outcome, DeliveredResponse)
        if ok and admitted.affinity:
            self._view.prompts.record(admitted.affinity, state.entry.server, now=now)
        paused = isinstance(outcome, NotRunResponse) and now < state.paused_until
        if not paused:
            state.health.record_outcome(ok=ok, now=now)

    def drop_successor(self, context: RequestContext, attempt: Attempt) -> None:
        """Abort the successor of an attempt, if there is one."""
        successor, attempt.successor = attempt.successor, None
        if successor is not None:
            self._sender.finish(successor)
            context.trace.add_attempt(successor.state.entry.server, "overtaken")


def _can_go_on(context: RequestContext, successor: Attempt | None) -> bool:
    """Return whether the stream of a successor begins after the last event that the caller has."""
    events = context.events
    return (
        successor is not None
        and events.resumable
        and successor.last_event_id == events.last_event_id
    )


def _proves_answer(outcome: AttemptOutcome) -> bool:
    if not isinstance(outcome, DeliveredResponse):
        return False
    return outcome.status < CLIENT_ERROR and outcome.proven


def _outcome_label(outcome: AttemptOutcome) -> str:
    if isinstance(outcome, BrokenResponse):
        return outcome.cause
    if isinstance(outcome, NotRunResponse):
        return f"not_run_{outcome.status}"
    if isinstance(outcome, DeliveredResponse) and outcome.end is not None:
        return f"{outcome.status}_closed_{outcome.end}"
    return str(outcome.status)
