"""Request handler of the gateway: admission, attempts and final response."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import structlog

from cornellead.gateway.forwarding._admission import OTHER_ROUTER_RETRY_AFTER_S
from cornellead.gateway.forwarding._admission import stopping_refusal
from cornellead.gateway.forwarding._admitted_request import RefusalResponse
from cornellead.gateway.forwarding._attempt_runner import AttemptRunner
from cornellead.gateway.forwarding._event_splitter import EventSplitter
from cornellead.gateway.forwarding._failover import Failover
from cornellead.gateway.forwarding._place_waiter import PlaceWaiter
from cornellead.gateway.forwarding._request_context import RequestContext
from cornellead.gateway.forwarding._request_sender import RequestSender
from cornellead.gateway.forwarding._request_trace import RequestTrace
from cornellead.gateway.forwarding._retry_gate import RetryGate
from cornellead.gateway.forwarding._return_retry import ReturnRetry
from cornellead.gateway.policy import retry_after_s

if TYPE_CHECKING:
    from collections.abc import Callable

    from cornellead.gateway.forwarding._admission import Admission
    from cornellead.gateway.forwarding._admitted_request import AdmittedRequest
    from cornellead.gateway.forwarding._attempt_sender import AttemptSender
    from cornellead.gateway.forwarding._crash_watch import CrashWatch
    from cornellead.gateway.forwarding._outcome import ErrorResponse
    from cornellead.gateway.forwarding._response_relay import ResponseRelay
    from cornellead.gateway.forwarding._server_picker import ServerPicker
    from cornellead.gateway.ingress import CallerRequest
    from cornellead.gateway.ingress import ResponseWriter
    from cornellead.gateway.ingress import ServingState
    from cornellead.gateway.policy import RetryBudgets
    from cornellead.gateway.stats import GatewayStats
    from cornellead.gateway.view import FleetView
    from cornellead_core.routing import WireFormat

SERVICE_FULL_RETRY_AFTER_S = 0.4
"""Retry-After if servers were tried but none ran the request: a full service usually has room by
then, since a few of its requests have ended."""
NO_SERVER_RETRY_AFTER_S = 1.0
"""Retry-After if the service has no server: one usually appears within about one heartbeat."""
STARTUP_MAX_HOLD_S = 0.4
"""Maximum time for which a request is held until the router has read configuration and servers. A
starting router usually reads both within a tenth of a second, and callers retry only once. An
outage of the store may end as quickly, and a caller that has to retry loses more time than this."""
STARTUP_POLL_S = 0.02
"""Interval at which a held request checks whether the router is ready."""
BAD_GATEWAY = 502
SERVICE_UNAVAILABLE = 503
GATEWAY_TIMEOUT = 504


class Forwarder:
    """Tries servers in turn until the deadline, the attempts or the retry budget are used up."""

    def __init__(
        self,
        *,
        view: FleetView,
        admission: Admission,
        serving: ServingState,
        picker: ServerPicker,
        sender: AttemptSender,
        relay: ResponseRelay,
        retries: RetryBudgets,
        wire: WireFormat,
        stats: GatewayStats,
        crashes: CrashWatch,
        clock: Callable[[], float],
    ) -> None:
        self._view = view
        self._admission = admission
        self._serving = serving
        self._retries = retries
        self._gate = RetryGate(
            view=view, serving=serving, retries=retries, stats=stats, clock=clock
        )
        runner = AttemptRunner(
            view=view, picker=picker, sender=sender, relay=relay, crashes=crashes, clock=clock
        )
        failover = Failover(
            view=view,
            picker=picker,
            sender=sender,
            relay=relay,
            runner=runner,
            gate=self._gate,
            stats=stats,
            clock=clock,
        )
        self.places = PlaceWaiter(
            view=view, serving=serving, picker=picker, stats=stats, clock=clock
        )
        self._requests = RequestSender(
            view=view,
            picker=picker,
            sender=sender,
            runner=runner,
            failover=failover,
            gate=self._gate,
            places=self.places,
            stats=stats,
            clock=clock,
        )
        self._wire = wire
        self._stats = stats
        self._clock = clock

    async def handle(self, req: CallerRequest, out: ResponseWriter) -> None:
        """Serve a request and log it; cancelled when the caller disconnects."""
        caller = self._wire.decode_caller(req.headers)
        trace = RequestTrace(caller.request_id, started_at=req.received_at)
        if not self._view.ready:
            await self._wait_until_ready()
            trace.add_note(f"held_at_start_{self._clock() - req.received_at:.2f}s")
        now = self._clock()
        result = self._admission.admit(req, caller, now=now)
        if isinstance(result, RefusalResponse):
            self._refuse(trace, out, result)
            self._record_result(trace, None)
            return
        admitted = result
        routers = len(self._view.routers(now=now))
        self._retries.count_request(admitted.service.name, routers=routers, now=now)
        try:
            async with self._serving.limit(admitted.attempts.time_left_s(now=now)):
                await self._serve(admitted, trace, out)
        except TimeoutError:
            self._respond_to_timeout(admitted, trace, out)
        except asyncio.CancelledError:
            trace.set_result(0, "caller_left")
            raise
        finally:
            self._record_result(trace, admitted)

    async def _wait_until_ready(self) -> None:
        hold_until = self._clock() + STARTUP_MAX_HOLD_S
        while not self._view.ready and self._clock() < hold_until:
            await asyncio.sleep(STARTUP_POLL_S)

    async def _serve(
        self, admitted: AdmittedRequest, trace: RequestTrace, out: ResponseWriter
    ) -> None:
        events = EventSplitter(last_event_id=admitted.caller.last_event)
        return_retry = ReturnRetry(
            admitted=admitted, trace=trace, out=out, gate=self._gate, clock=self._clock
        )
        try:
            sequence = await self._requests.run(
                RequestContext(admitted, trace, events, out, return_retry)
            )
            if sequence.delivered is None:
                self._respond_to_failure(
                    admitted, trace, sequence.fallback, out, wait_s=sequence.wait_s
                )
        finally:
            return_retry.release()

    def _respond_to_failure(
        self,
        admitted: AdmittedRequest,
        trace: RequestTrace,
        fallback: ErrorResponse | None,
        out: ResponseWriter,
        *,
        wait_s: float | None,
    ) -> None:
        if out.started:
            out.abort()
            trace.set_result(0, "stream_broken")
        elif fallback is not None and not admitted.attempts.may_pass_on(fallback.status):
            note = f"server_status_{fallback.status}"
            self._refuse(trace, out, RefusalResponse(BAD_GATEWAY, "unconfirmed_refusal", note=note))
        elif fallback is not None:
            out.respond(fallback.status, fallback.headers, fallback.body)
            trace.set_result(fallback.status, "server_failure")
        elif admitted.attempts.not_run and not self._gate.allows_send(admitted):
            self._serving.refused += 1
            self._refuse(trace, out, stopping_refusal())
        elif admitted.attempts.not_run and wait_s is not None:
            trace.add_note(f"place_expected_in_{wait_s:.1f}s")
            retry_s = self._retry_after_s(admitted, wait_s)
            self._refuse(
                trace, out, RefusalResponse(SERVICE_UNAVAILABLE, "no_place_in_time", retry_s)
            )
        elif admitted.attempts.not_run:
            wait_s = (
                SERVICE_FULL_RETRY_AFTER_S if admitted.attempts.sends else NO_SERVER_RETRY_AFTER_S
            )
            self._refuse(
                trace,
                out,
                RefusalResponse(
                    SERVICE_UNAVAILABLE, "not_run", self._retry_after_s(admitted, wait_s)
                ),
            )
        else:
            self._refuse(trace, out, RefusalResponse(BAD_GATEWAY, "outcome_unknown"))

    def _respond_to_timeout(
        self, admitted: AdmittedRequest, trace: RequestTrace, out: ResponseWriter
    ) -> None:
        stopped = self._serving.expired and admitted.attempts.time_left_s(now=self._clock()) > 0
        cause = "stopped" if stopped else "timed_out"
        if out.started:
            out.abort()
            trace.set_result(0, f"stream_{cause}")
        elif admitted.attempts.not_run:
            retry_s = OTHER_ROUTER_RETRY_AFTER_S if stopped else None
            self._refuse(
                trace, out, RefusalResponse(SERVICE_UNAVAILABLE, f"{cause}_not_run", retry_s)
            )
        else:
            self._refuse(trace, out, RefusalResponse(GATEWAY_TIMEOUT, cause))

    def _retry_after_s(self, admitted: AdmittedRequest, wait_s: float) -> float:
        time_left_s = admitted.attempts.time_left_s(now=self._clock())
        return retry_after_s(
            wait_s=wait_s, time_left_s=time_left_s, request_id=admitted.caller.request_id
        )

    def _refuse(self, trace: RequestTrace, out: ResponseWriter, refusal: RefusalResponse) -> None:
        if refusal.note:
            trace.add_note(refusal.note)
        headers = self._wire.encode_refusal(trace.request_id, refusal.retry_after_s)
        out.respond(refusal.status, headers, b"")
        trace.set_result(refusal.status, refusal.cause)

    def _record_result(self, trace: RequestTrace, admitted: AdmittedRequest | None) -> None:
        now = self._clock()
        elapsed_s = now - trace.started_at
        self._stats.count_request(trace.status, trace.cause, elapsed_s)
        structlog.get_logger().info(
            "request",
            request=trace.request_id,
            route=admitted.route.name if admitted else "",
            service=admitted.service.name if admitted else "",
            affinity=admitted.affinity if admitted else "",
            status=trace.status,
            cause=trace.cause,
            attempts=trace.attempts,
            notes=trace.notes,
            sends=admitted.attempts.sends if admitted else 0,
            run_state=admitted.attempts.state.value if admitted else "not_sent",
            config=admitted.config_version if admitted else None,
            config_age_s=round(self._view.config_age_s(now=now), 2),
            elapsed_ms=round(elapsed_s * 1000),
        )
