"""Emulated router: the gateway's decisions on a simulated network."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple

from cornellead.gateway.exchange import WorkChannel
from cornellead.gateway.forwarding import COLD_WAIT_SHARE
from cornellead.gateway.forwarding import SERVICE_FULL_RETRY_AFTER_S
from cornellead.gateway.forwarding import BrokenResponse
from cornellead.gateway.forwarding import DeliveredResponse
from cornellead.gateway.forwarding import NoServer
from cornellead.gateway.forwarding import ServerPicker
from cornellead.gateway.policy import ColdStartLimiter
from cornellead.gateway.policy import RetryBudgets
from cornellead.gateway.policy import ServerRateLimiter
from cornellead.gateway.policy import retry_after_s
from cornellead.gateway.view import FleetView
from cornellead.gateway.view import RouterLoad
from cornellead.gateway.view import ServerState
from cornellead_core.routing import Bounds
from cornellead_core.routing import ReportedLoad
from cornellead_core.routing import RouterLocation
from cornellead_emulator.routing._gateway_request_factory import SERVICE_NAME
from cornellead_emulator.routing._request_progress import RequestProgress
from cornellead_emulator.servers import Generation

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Sequence

    from cornellead.gateway.policy import ChatOrder
    from cornellead_emulator.routing._experiment_metrics import ExperimentMetrics
    from cornellead_emulator.routing._fleet_settings import FleetSettings
    from cornellead_emulator.routing._gateway_request_factory import GatewayRequestFactory
    from cornellead_emulator.servers import ModelServer
    from cornellead_emulator.simulation import EventQueue
    from cornellead_emulator.traffic import ChatRequest

S_PER_MS = 1e-3
ANNOUNCEMENT_INTERVAL_S = 4.0
"""Interval at which routers announce themselves to each other."""


class _SimulatedAttempt(NamedTuple):
    """Attempt whose response has ended."""

    state: ServerState
    sent_at: float
    first_byte_s: float | None


class EmulatedRouter:
    """Places requests with the gateway's server picker, cold start limit and retry budget.

    :param on_arrival: Called with a server's name when a request arrives there; returns the server,
        or ``None`` if it no longer runs.
    :param find_server: Returns a running server by name, ``None`` if it no longer runs.
    :param on_refused: Called with a refused request and the delay in seconds after which the caller
        may retry it.
    """

    def __init__(
        self,
        *,
        name: str,
        data_centre: str,
        settings: FleetSettings,
        order: ChatOrder,
        request_factory: GatewayRequestFactory,
        queue: EventQueue,
        metrics: ExperimentMetrics,
        on_arrival: Callable[[str], ModelServer | None],
        find_server: Callable[[str], ModelServer | None],
        on_refused: Callable[[ChatRequest, float], None],
    ) -> None:
        self.name = name
        self.data_centre = data_centre
        self._settings = settings
        self._request_factory = request_factory
        self._queue = queue
        self._metrics = metrics
        self._on_arrival = on_arrival
        self._find_server = find_server
        self._on_refused = on_refused
        self.view = FleetView(router=name)
        self._retries = RetryBudgets(
            bounds=Bounds(
                drain_grace_s=0.0,
                retry_ratio=settings.retry_ratio,
                retry_window_s=10.0,
                retry_minimum=settings.retry_minimum,
                cold_slack=settings.cold_slack,
                load_factor=settings.load_factor,
                config_delay_s=0.0,
            )
        )
        self._work_channel = WorkChannel(view=self.view)
        self._picker = ServerPicker(
            view=self.view,
            cold_limiter=ColdStartLimiter(router=name, burst=settings.cold_slack),
            rate_limiter=ServerRateLimiter(router=name),
            data_centre=data_centre,
            regions={},
            load_factor=settings.load_factor,
            order=order,
        )

    def apply_announcements(self, routers: Sequence[EmulatedRouter]) -> None:
        """Add the announcements of all routers to this router's view of the fleet."""
        for router in routers:
            location = RouterLocation(router.name, router.data_centre)
            self.view.apply_announcement(router.name, location, now=self._queue.now)

    def build_report(self) -> RouterLoad:
        """Return this router's load report: its requests in flight at each server."""
        return RouterLoad(self.name, self.view.servers.in_flight_counts())

    def receive_report(self, load: RouterLoad) -> None:
        """Record the load report of another router."""
        self.view.load.record_report(load, now=self._queue.now)

    def build_work_report(self) -> bytes | None:
        """Return this router's report of work at servers, if there is anything to tell."""
        return self._work_channel.encode(now=self._queue.now)

    def receive_work_report(self, data: bytes) -> None:
        """Apply the report of another router of work at servers."""
        self._work_channel.apply(data, now=self._queue.now)

    def handle(self, req: ChatRequest) -> None:
        """Handle one attempt of a caller: place the request at a server or refuse it."""
        now = self._queue.now
        routers = len(self.view.routers(now=now))
        self._retries.count_request(SERVICE_NAME, routers=routers, now=now)
        admitted = self._request_factory.build(req, now=now)
        self._place(
            RequestProgress(
                req, admitted, give_up_at=now + COLD_WAIT_SHARE * req.request_class.aim_s
            )
        )

    def _place(self, progress: RequestProgress) -> None:
        now = self._queue.now
        if not progress.admitted.attempts.may_send(now=now):
            self._refuse(progress)
            return
        picked = self._picker.pick(progress.admitted, tried=progress.tried, now=now)
        if isinstance(picked, NoServer):
            if picked.next_send_at is None or picked.next_send_at > progress.give_up_at:
                self._refuse(progress, wait_s=picked.wait_s or SERVICE_FULL_RETRY_AFTER_S)
            else:
                self._queue.schedule_at(
                    picked.next_send_at + S_PER_MS, lambda: self._place(progress)
                )
            return
        self._send(progress, picked)

    def _send(self, progress: RequestProgress, state: ServerState) -> None:
        now = self._queue.now
        source = self._picker.prompt_source(progress.admitted, state, now=now)
        progress.admitted.attempts.count_send()
        self._picker.rollouts.record_sent(progress.admitted)
        progress.sent_at = now
        progress.tried.add(state.entry.server)
        number = progress.number
        state.health.start_request(number, now=now, urgency=progress.admitted.urgency)
        self._picker.start_prompt(progress.admitted, state, number, now=now)
        send_s = self._settings.send_ms * S_PER_MS
        self._queue.schedule_after(send_s, lambda: self._deliver(progress, state, source))

    def _deliver(
        self, progress: RequestProgress, state: ServerState, source: ServerState | None
    ) -> None:
        server = self._on_arrival(state.entry.server)
        gen = Generation(
            prompt=progress.req.prompt,
            output_tokens=progress.req.output_tokens,
            urgency=progress.req.request_class.urgency,
            on_event=lambda: self._record_event(progress, state),
            on_end=lambda ok: self._finish(progress, state, gen, ok=ok),
        )
        source_server = None if source is None else self._find_server(source.entry.server)
        if server is not None:
            own_prefix = server.cache.cached_prefix(gen.shared)
            source_prefix = (
                0 if source_server is None else source_server.cache.cached_prefix(gen.shared)
            )
            if server.submit(gen, source=source_server):
                self._metrics.record_prefill(
                    gen.shared, max(own_prefix, source_prefix), self._queue.now
                )
                fetched = gen.shared[own_prefix:source_prefix]
                self._metrics.fetched_tokens += sum(part.tokens for part in fetched)
                progress.cancel = lambda: server.cancel(gen)
                self._queue.schedule_at(
                    progress.req.deadline, lambda: self._expire(progress, state)
                )
                return
        self._retry(progress, state)

    def _retry(self, progress: RequestProgress, state: ServerState) -> None:
        now = self._queue.now
        state.health.finish_request(progress.number)
        state.prompts.finish(progress.number)
        progress.admitted.attempts.count_not_run()
        routers = len(self.view.routers(now=now))
        if not self._retries.try_spend(SERVICE_NAME, routers=routers, now=now):
            self._refuse(progress)
            return
        self._metrics.retries += 1
        self._place(progress)

    def _refuse(
        self, progress: RequestProgress, *, wait_s: float = SERVICE_FULL_RETRY_AFTER_S
    ) -> None:
        left_s = progress.admitted.attempts.time_left_s(now=self._queue.now)
        request_id = progress.req.request_id
        retry_delay_s = retry_after_s(wait_s=wait_s, time_left_s=left_s, request_id=request_id)
        self._on_refused(progress.req, retry_delay_s)

    def _record_event(self, progress: RequestProgress, state: ServerState) -> None:
        now = self._queue.now
        state.health.record_data_received(now=now)
        if progress.first_token_at is None:
            progress.first_token_at = now
            self._picker.end_prefill(state, progress.number, now=now)
            self._record_reported_load(state)
            self._metrics.record_first_token(progress.req, now)

    def _record_reported_load(self, state: ServerState) -> None:
        server = self._find_server(state.entry.server)
        if server is not None:
            factor = server.work_factor if self._settings.reports_work else None
            load = ReportedLoad(server.running, server.waiting, state.entry.slots, factor)
            state.record_reported_load(load, now=self._queue.now)

    def _finish(
        self, progress: RequestProgress, state: ServerState, gen: Generation, *, ok: bool
    ) -> None:
        if progress.ended:
            return
        progress.ended = True
        now = self._queue.now
        state.health.finish_request(progress.number)
        state.prompts.finish(progress.number)
        state.health.record_outcome(ok=ok, now=now)
        self._count_version(progress, state, ok=ok)
        if not ok:
            self._metrics.failed += 1
            return
        self.view.prompts.record(progress.admitted.affinity, state.entry.server, now=now)
        if progress.first_token_at is not None:
            state.health.record_stream_duration(now - progress.first_token_at)
        self._metrics.finished += 1
        self._metrics.max_pauses_s.append(gen.longest_pause_s)

    def _count_version(self, progress: RequestProgress, state: ServerState, *, ok: bool) -> None:
        first_at = progress.first_token_at
        first_byte_s = None if first_at is None else first_at - progress.sent_at
        self._picker.rollouts.record_outcome(
            progress.admitted,
            _SimulatedAttempt(state, progress.sent_at, first_byte_s),
            DeliveredResponse(200) if ok else BrokenResponse("no_response"),
            now=self._queue.now,
        )

    def _expire(self, progress: RequestProgress, state: ServerState) -> None:
        if progress.ended:
            return
        progress.ended = True
        progress.cancel()
        state.health.finish_request(progress.number)
        state.prompts.finish(progress.number)
        self._metrics.failed += 1
