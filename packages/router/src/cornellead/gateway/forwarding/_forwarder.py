"""Serves the requests of callers."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import structlog

from cornellead.gateway.beliefs import ServerState
from cornellead.gateway.forwarding._event_splitter import EventSplitter
from cornellead.gateway.forwarding._job import Rejected
from cornellead.gateway.forwarding._journey import Journey
from cornellead.gateway.forwarding._outcome import Answered
from cornellead.gateway.forwarding._outcome import Broken
from cornellead.gateway.forwarding._outcome import Delivered
from cornellead.gateway.forwarding._outcome import NotRun
from cornellead.gateway.forwarding._server_picker import NoServer
from cornellead.gateway.policy import retry_after_s

if TYPE_CHECKING:
    from collections.abc import Callable

    from cornellead.gateway.beliefs import FleetView
    from cornellead.gateway.forwarding._admission import Admission
    from cornellead.gateway.forwarding._attempt_sender import AttemptSender
    from cornellead.gateway.forwarding._job import Job
    from cornellead.gateway.forwarding._outcome import AttemptOutcome
    from cornellead.gateway.forwarding._response_relay import ResponseRelay
    from cornellead.gateway.forwarding._server_picker import ServerPicker
    from cornellead.gateway.ingress import CallerRequest
    from cornellead.gateway.ingress import ResponseWriter
    from cornellead.gateway.policy import RetryShare
    from cornellead.gateway.stats import GatewayStats
    from cornellead_core.routing import WireFormat

HOLD_SHARE = 0.25
"""Part of the latency target for which a request waits for a server that opens soon."""
FULL_RETRY_S = 0.4
"""Time in which a service that refused usually has room again: a few requests end meanwhile."""
NO_SERVER_RETRY_S = 1.0
"""Time in which a server usually appears when none is listed: about one heartbeat."""
STARTUP_HOLD_S = 0.4
"""Time for which a request waits for a router that just started: it usually knows configuration and
servers within a tenth of a second, and callers retry only once. An outage of the store may end as
soon, and a caller that has to come back loses more time."""
STARTUP_POLL_S = 0.02
"""Interval at which a held request looks whether the router is ready."""
MAX_UNSENT = 4
"""Failed connection attempts after which a request is refused."""
GATEWAY_FAILED = 502
UNAVAILABLE = 503
TIMED_OUT = 504


class Forwarder:
    """Tries servers until one answers, within what the request may still do."""

    def __init__(
        self,
        *,
        view: FleetView,
        admission: Admission,
        picker: ServerPicker,
        sender: AttemptSender,
        relay: ResponseRelay,
        retries: RetryShare,
        wire: WireFormat,
        stats: GatewayStats,
        clock: Callable[[], float],
    ) -> None:
        self._view = view
        self._admission = admission
        self._picker = picker
        self._sender = sender
        self._relay = relay
        self._retries = retries
        self._wire = wire
        self._stats = stats
        self._clock = clock

    async def handle(self, req: CallerRequest, out: ResponseWriter) -> None:
        """Write one response; cancelled when the caller leaves."""
        caller = self._wire.decode_caller(req.headers)
        journey = Journey(caller.request_id, started_at=req.received_at)
        if not self._view.ready:
            await self._wait_ready()
            journey.note(f"held_at_start_{self._clock() - req.received_at:.2f}s")
        now = self._clock()
        admitted = self._admission.admit(req, caller, now=now)
        if isinstance(admitted, Rejected):
            self._refuse(journey, out, admitted)
            self._report(journey, None)
            return
        job = admitted
        routers = len(self._view.routers(now=now))
        self._retries.count_request(job.service.name, routers=routers, now=now)
        try:
            async with asyncio.timeout(job.rights.time_left_s(now=now)):
                await self._serve(job, journey, out)
        except TimeoutError:
            self._finish_late(job, journey, out)
        except asyncio.CancelledError:
            journey.end(0, "caller_left")
            raise
        finally:
            self._report(journey, job)

    async def _wait_ready(self) -> None:
        give_up_at = self._clock() + STARTUP_HOLD_S
        while not self._view.ready and self._clock() < give_up_at:
            await asyncio.sleep(STARTUP_POLL_S)

    async def _serve(self, job: Job, journey: Journey, out: ResponseWriter) -> None:
        events = EventSplitter(last_event=job.caller.last_event)
        fallback: Answered | None = None
        wait_s: float | None = None
        unsent = 0
        while job.rights.time_left_s(now=self._clock()) > 0:
            if job.rights.sends and not self._may_retry(job, journey, fallback):
                break
            picked = await self._pick(job, journey)
            if isinstance(picked, NoServer):
                journey.note(f"no_server_of_{picked.listed}")
                wait_s = picked.wait_s
                break
            job.rights.count_send()
            outcome = await self._try_server(job, journey, picked, events, out)
            if outcome is None:
                job.rights.count_unsent()
                unsent += 1
                if unsent >= MAX_UNSENT:
                    break
                continue
            if isinstance(outcome, Delivered):
                journey.end(outcome.status, "delivered")
                return
            if isinstance(outcome, NotRun):
                job.rights.count_not_run()
            if isinstance(outcome, Answered):
                fallback = outcome
            if isinstance(outcome, Broken):
                events.restart()
        self._finish_failed(job, journey, fallback, out, wait_s=wait_s)

    def _may_retry(self, job: Job, journey: Journey, fallback: Answered | None) -> bool:
        now = self._clock()
        if not job.rights.may_send(now=now):
            journey.note("no_attempt_left")
            return False
        if fallback is not None and not job.route.repeatable:
            return False
        routers = len(self._view.routers(now=now))
        if not self._retries.try_spend(job.service.name, routers=routers, now=now):
            journey.note("no_retry_budget")
            self._stats.count_decision("retry_budget_empty")
            return False
        self._stats.count_decision("retry")
        return True

    async def _pick(self, job: Job, journey: Journey) -> ServerState | NoServer:
        give_up_at = self._clock() + HOLD_SHARE * job.route.target_latency_s
        while True:
            picked = self._picker.pick(job, tried=journey.tried, now=self._clock())
            if isinstance(picked, ServerState):
                return picked
            if picked.opens_at is None or picked.opens_at > give_up_at:
                return picked
            await asyncio.sleep(max(0.001, picked.opens_at - self._clock()))

    async def _try_server(
        self,
        job: Job,
        journey: Journey,
        state: ServerState,
        events: EventSplitter,
        out: ResponseWriter,
    ) -> AttemptOutcome | None:
        name = state.entry.server
        source = self._picker.prompt_source(job, state, now=self._clock())
        if source is not None:
            journey.note(f"fetch_from_{source.entry.server}")
        attempt = await self._sender.send(job, state, source=source, last_event=events.last_event)
        if attempt is None:
            journey.add_attempt(name, "no_connection")
            return None
        try:
            outcome = await self._relay.relay(job, attempt, events, out)
        except BaseException:
            journey.add_attempt(name, "cancelled")
            raise
        finally:
            self._sender.finish(attempt)
        ok = isinstance(outcome, Delivered)
        if ok and job.affinity:
            self._view.prompts.record(job.affinity, name, now=self._clock())
        state.health.count_outcome(ok=ok, now=self._clock())
        journey.add_attempt(name, _describe(outcome))
        return outcome

    def _finish_failed(
        self,
        job: Job,
        journey: Journey,
        fallback: Answered | None,
        out: ResponseWriter,
        *,
        wait_s: float | None,
    ) -> None:
        if out.started:
            out.abort()
            journey.end(0, "stream_broken")
        elif fallback is not None:
            out.respond(fallback.status, fallback.headers, fallback.body)
            journey.end(fallback.status, "server_failure")
        elif job.rights.refusable and wait_s is not None:
            journey.note(f"place_expected_in_{wait_s:.1f}s")
            back_s = self._back_in(job, wait_s)
            self._refuse(journey, out, Rejected(UNAVAILABLE, "no_place_in_time", back_s))
        elif job.rights.refusable:
            wait_s = FULL_RETRY_S if job.rights.sends else NO_SERVER_RETRY_S
            self._refuse(journey, out, Rejected(UNAVAILABLE, "not_run", self._back_in(job, wait_s)))
        else:
            self._refuse(journey, out, Rejected(GATEWAY_FAILED, "outcome_unknown"))

    def _finish_late(self, job: Job, journey: Journey, out: ResponseWriter) -> None:
        if out.started:
            out.abort()
            journey.end(0, "stream_timed_out")
        elif job.rights.refusable:
            self._refuse(journey, out, Rejected(UNAVAILABLE, "timed_out_not_run"))
        else:
            self._refuse(journey, out, Rejected(TIMED_OUT, "timed_out"))

    def _back_in(self, job: Job, wait_s: float) -> float:
        left_s = job.rights.time_left_s(now=self._clock())
        return retry_after_s(wait_s=wait_s, time_left_s=left_s, request_id=job.caller.request_id)

    def _refuse(self, journey: Journey, out: ResponseWriter, rejected: Rejected) -> None:
        headers = self._wire.encode_refusal(journey.request_id, rejected.retry_after_s)
        out.respond(rejected.status, headers, b"")
        journey.end(rejected.status, rejected.cause)

    def _report(self, journey: Journey, job: Job | None) -> None:
        now = self._clock()
        elapsed_s = now - journey.started_at
        self._stats.count_request(journey.status, journey.cause, elapsed_s)
        structlog.get_logger().info(
            "request",
            request=journey.request_id,
            route=job.route.name if job else "",
            service=job.service.name if job else "",
            affinity=job.affinity if job else "",
            status=journey.status,
            cause=journey.cause,
            attempts=journey.attempts,
            notes=journey.notes,
            sends=job.rights.sends if job else 0,
            run_state=job.rights.state.value if job else "not_sent",
            config=job.config_version if job else None,
            config_age_s=round(self._view.config_age_s(now=now), 2),
            elapsed_ms=round(elapsed_s * 1000),
        )


def _describe(outcome: AttemptOutcome) -> str:
    if isinstance(outcome, Broken):
        return outcome.cause
    if isinstance(outcome, NotRun):
        return f"not_run_{outcome.status}"
    return str(outcome.status)
