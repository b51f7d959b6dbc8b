"""A router whose network is emulated."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cornellead.gateway.beliefs import FleetView
from cornellead.gateway.beliefs import RouterLoad
from cornellead.gateway.beliefs import ServerState
from cornellead.gateway.forwarding import FULL_RETRY_S
from cornellead.gateway.forwarding import HOLD_SHARE
from cornellead.gateway.forwarding import NoServer
from cornellead.gateway.forwarding import ServerPicker
from cornellead.gateway.policy import ColdGate
from cornellead.gateway.policy import RetryShare
from cornellead.gateway.policy import retry_after_s
from cornellead_core.routing import Bounds
from cornellead_core.routing import ReportedLoad
from cornellead_core.routing import RouterPlace
from cornellead_emulator.routing._job_factory import SERVICE
from cornellead_emulator.routing._pending import Pending
from cornellead_emulator.servers import Generation

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Sequence

    from cornellead.gateway.policy import ChatOrder
    from cornellead_emulator.routing._fleet_settings import FleetSettings
    from cornellead_emulator.routing._job_factory import JobFactory
    from cornellead_emulator.routing._tally import Tally
    from cornellead_emulator.servers import ModelServer
    from cornellead_emulator.simulation import EventQueue
    from cornellead_emulator.traffic import ChatRequest

MS = 1e-3
MEMBER_INTERVAL_S = 4.0
"""Interval of announcements of routers."""


class EmulatedRouter:
    """Places requests with the gateway's picker, cold gate and retry share.

    :param reach: Returns a running server that a request reaches, ``None`` if it is gone.
    :param find: Returns a running server by name, ``None`` if it is gone.
    :param refused: Takes a refused request and the time after which it may come back.
    """

    def __init__(
        self,
        *,
        name: str,
        data_centre: str,
        settings: FleetSettings,
        order: ChatOrder,
        jobs: JobFactory,
        queue: EventQueue,
        tally: Tally,
        reach: Callable[[str], ModelServer | None],
        find: Callable[[str], ModelServer | None],
        refused: Callable[[ChatRequest, float], None],
    ) -> None:
        self.name = name
        self.data_centre = data_centre
        self._settings = settings
        self._jobs = jobs
        self._queue = queue
        self._tally = tally
        self._reach = reach
        self._find = find
        self._refused = refused
        self.view = FleetView(router=name)
        self._retries = RetryShare(
            bounds=Bounds(
                drain_grace_s=0.0,
                retry_ratio=settings.retry_ratio,
                retry_window_s=10.0,
                retry_minimum=settings.retry_minimum,
                cold_slack=settings.cold_slack,
                load_factor=settings.load_factor,
            )
        )
        self._picker = ServerPicker(
            view=self.view,
            gate=ColdGate(router=name, slack=settings.cold_slack),
            data_centre=data_centre,
            regions={},
            load_factor=settings.load_factor,
            order=order,
        )

    def meet(self, routers: Sequence[EmulatedRouter]) -> None:
        """Take the announcements of all routers."""
        for router in routers:
            place = RouterPlace(router.name, router.data_centre)
            self.view.see_router(router.name, place, now=self._queue.now)

    def report(self) -> RouterLoad:
        """Return this router's requests at the servers."""
        return RouterLoad(self.name, self.view.servers.own_counts())

    def hear(self, load: RouterLoad) -> None:
        """Take the report of another router."""
        self.view.load.take(load, now=self._queue.now)

    def handle(self, req: ChatRequest) -> None:
        """Serve a request of a caller."""
        now = self._queue.now
        routers = len(self.view.routers(now=now))
        self._retries.count_request(SERVICE, routers=routers, now=now)
        job = self._jobs.build(req, now=now)
        self._place(Pending(req, job, give_up_at=now + HOLD_SHARE * req.kind.aim_s))

    def _place(self, pending: Pending) -> None:
        now = self._queue.now
        if not pending.job.rights.may_send(now=now):
            self._refuse(pending)
            return
        picked = self._picker.pick(pending.job, tried=pending.tried, now=now)
        if isinstance(picked, NoServer):
            if picked.opens_at is None or picked.opens_at > pending.give_up_at:
                self._refuse(pending, wait_s=picked.wait_s or FULL_RETRY_S)
            else:
                self._queue.at(picked.opens_at + MS, lambda: self._place(pending))
            return
        self._send(pending, picked)

    def _send(self, pending: Pending, state: ServerState) -> None:
        now = self._queue.now
        source = self._picker.prompt_source(pending.job, state, now=now)
        pending.job.rights.count_send()
        pending.tried.add(state.entry.server)
        number = pending.number
        state.health.open(number, now=now, urgency=pending.job.urgency)
        send_s = self._settings.send_ms * MS
        self._queue.after(send_s, lambda: self._arrive(pending, state, source))

    def _arrive(self, pending: Pending, state: ServerState, source: ServerState | None) -> None:
        server = self._reach(state.entry.server)
        gen = Generation(
            prompt=pending.req.prompt,
            output_tokens=pending.req.output_tokens,
            urgency=pending.req.kind.urgency,
            on_event=lambda: self._note_event(pending, state),
            on_end=lambda ok: self._finish(pending, state, gen, ok=ok),
        )
        origin = None if source is None else self._find(source.entry.server)
        if server is not None:
            kept = server.cache.cached_prefix(gen.shared)
            copied = 0 if origin is None else origin.cache.cached_prefix(gen.shared)
            if server.submit(gen, source=origin):
                self._tally.count_read(gen.shared, max(kept, copied), self._queue.now)
                moved = gen.shared[kept:copied]
                self._tally.fetched_tokens += sum(part.tokens for part in moved)
                pending.expire = lambda: server.cancel(gen)
                self._queue.at(pending.req.deadline, lambda: self._expire(pending, state))
                return
        self._retry(pending, state)

    def _retry(self, pending: Pending, state: ServerState) -> None:
        now = self._queue.now
        state.health.close(pending.number)
        pending.job.rights.count_not_run()
        routers = len(self.view.routers(now=now))
        if not self._retries.try_spend(SERVICE, routers=routers, now=now):
            self._refuse(pending)
            return
        self._tally.retries += 1
        self._place(pending)

    def _refuse(self, pending: Pending, *, wait_s: float = FULL_RETRY_S) -> None:
        left_s = pending.job.rights.time_left_s(now=self._queue.now)
        request_id = pending.req.request_id
        back_s = retry_after_s(wait_s=wait_s, time_left_s=left_s, request_id=request_id)
        self._refused(pending.req, back_s)

    def _note_event(self, pending: Pending, state: ServerState) -> None:
        now = self._queue.now
        state.health.count_byte(now=now)
        if pending.started_at is None:
            pending.started_at = now
            self._take_load(state)
            self._tally.count_first_token(pending.req, now)

    def _take_load(self, state: ServerState) -> None:
        server = self._find(state.entry.server)
        if server is not None:
            load = ReportedLoad(server.running, server.waiting, state.entry.slots)
            state.report_load(load, now=self._queue.now)

    def _finish(self, pending: Pending, state: ServerState, gen: Generation, *, ok: bool) -> None:
        if pending.ended:
            return
        pending.ended = True
        now = self._queue.now
        state.health.close(pending.number)
        state.health.count_outcome(ok=ok, now=now)
        if not ok:
            self._tally.failed += 1
            return
        self.view.prompts.record(pending.job.affinity, state.entry.server, now=now)
        if pending.started_at is not None:
            state.health.count_hold(now - pending.started_at)
        self._tally.finished += 1
        self._tally.pauses_s.append(gen.longest_pause_s)

    def _expire(self, pending: Pending, state: ServerState) -> None:
        if pending.ended:
            return
        pending.ended = True
        pending.expire()
        state.health.close(pending.number)
        self._tally.failed += 1
