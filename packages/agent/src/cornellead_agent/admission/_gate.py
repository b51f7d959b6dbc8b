"""The admission state of one agent: requests in flight, limits and refusals."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cornellead_agent.admission._decision import AdmissionView
from cornellead_agent.admission._decision import bound_limit
from cornellead_agent.admission._decision import decide_admission
from cornellead_agent.facts import ANNOUNCED
from cornellead_agent.facts import SERVER
from cornellead_core.facts import CONFIG
from cornellead_core.facts import DRAINING
from cornellead_core.facts import HOSTS
from cornellead_core.load import DEFAULT_MARGIN
from cornellead_core.load import DcSummary
from cornellead_core.load import Digest
from cornellead_core.load import LoadReport
from cornellead_core.load import ServerState
from cornellead_core.load import server_group
from cornellead_core.platform import HostState

if TYPE_CHECKING:
    from cornellead_agent.admission._cold_limit import ColdLimit
    from cornellead_agent.admission._decision import AdmissionRequest
    from cornellead_agent.chats import ChatIndex
    from cornellead_core.blackboard import Blackboard
    from cornellead_core.load import LoadTable
    from cornellead_core.outcomes import Refusal
    from cornellead_core.settings import AgentSettings

DIGEST_AGE_S = 3.0
"""Older summaries are not passed on: they count for nothing in the estimate."""


class Gate:
    """Admits requests and counts those in flight; used from the event loop only."""

    def __init__(
        self,
        *,
        settings: AgentSettings,
        board: Blackboard,
        table: LoadTable,
        cold_limit: ColdLimit,
        chats: ChatIndex,
        incarnation: int,
        started_at: float,
    ) -> None:
        self._settings = settings
        self._board = board
        self._table = table
        self._cold_limit = cold_limit
        self._chats = chats
        self._incarnation = incarnation
        self._started_at = started_at
        self._seq = 0
        self._group = server_group(settings.process.name)
        self.in_flight = 0
        self.admissions = 0
        self.refusals: dict[str, int] = {}
        self.max_over_mean = 0.0

    @property
    def is_engine(self) -> bool:
        """Whether the server is a model engine, to which the load bound applies."""
        return not self._settings.server.service

    @property
    def capacity(self) -> int:
        """Requests that the server bears when warm."""
        return self._settings.server.capacity

    @property
    def state(self) -> ServerState:
        """Whether this agent admits new work, from settings, configuration and host list."""
        process = self._settings.process
        cfg = self._board.read(CONFIG)
        server = cfg.servers.get(process.name)
        leaving = any(
            host.name == process.name and host.state is HostState.LEAVING
            for host in self._board.read(HOSTS)
        )
        if self._board.read(DRAINING) or leaving or (server is not None and server.draining):
            return ServerState.DRAINING
        if process.dc in cfg.out_of_service:
            return ServerState.OUT_OF_SERVICE
        if not self._board.read(SERVER).up or not self._board.read(ANNOUNCED):
            return ServerState.DOWN
        return ServerState.SERVING

    def admit(self, request: AdmissionRequest, *, chat: int | None, now: float) -> Refusal | None:
        """Decide on a request and count it as in flight if it is admitted."""
        refusal = decide_admission(request, self._view(chat, request.returning, now), now=now)
        if refusal is not None:
            self.count_refusal(refusal.reason.value)
            return refusal
        self.in_flight += 1
        self.admissions += 1
        if self.is_engine:
            rho = self._rho(now, added=0)
            self.max_over_mean = max(
                self.max_over_mean,
                self.in_flight / self.limit(now=now, rho=rho, fallback=True),
            )
        return None

    def finish(self) -> None:
        """Count a request as no longer in flight."""
        self.in_flight -= 1

    def count_refusal(self, reason: str) -> None:
        """Count a refusal by its reason."""
        self.refusals[reason] = self.refusals.get(reason, 0) + 1

    def limit(self, *, now: float, rho: float | None = None, fallback: bool = False) -> int:
        """Return the present limit for interactive requests."""
        limit = bound_limit(
            bound=self._board.read(CONFIG).load_bound if self.is_engine else None,
            capacity=self.capacity,
            rho=self._rho(now, added=1) if rho is None else rho,
            fallback=fallback,
            margin=DEFAULT_MARGIN,
        )
        return limit if fallback else min(limit, self._cold_limit.value)

    def summary(self) -> DcSummary:
        """Return the summary of this server alone."""
        self._seq += 1
        live = self.state is ServerState.SERVING or not self._board.read(ANNOUNCED)
        capacity = float(self.capacity) if live else 0.0
        return DcSummary(
            self._settings.process.dc,
            self._group,
            self._seq,
            0,
            self.in_flight if live else 0,
            capacity,
            1 if live else 0,
        )

    def report(self, *, now: float) -> LoadReport:
        """Return the load report of this server."""
        self._seq += 1
        return LoadReport(
            self._settings.process.name,
            self._incarnation,
            self._seq,
            0,
            self.in_flight,
            float(self.capacity),
            self.limit(now=now),
            self.state,
        )

    def digest(self, *, now: float) -> Digest:
        """Return what a response tells a router of the load."""
        if self.is_engine:
            self._table.merge_summary(self.summary(), now=now)
        return Digest(self._table.summaries(now=now, max_age_s=DIGEST_AGE_S), self.report(now=now))

    def _rho(self, now: float, *, added: int) -> float:
        if self.is_engine:
            self._table.merge_summary(self.summary(), now=now)
        excluded = self._board.read(CONFIG).out_of_service
        return self._table.estimate(now=now, excluded=excluded, added=added).rho

    def _view(self, chat: int | None, returning: bool, now: float) -> AdmissionView:
        cfg = self._board.read(CONFIG)
        hint, no_cache = "", False
        if chat is not None and returning and not self._chats.holds(chat):
            hint = self._known_hint(chat, now)
            no_cache = now - self._started_at < self._settings.join_grace_s
        return AdmissionView(
            state=self.state,
            config_offset=cfg.offset,
            in_flight=self.in_flight,
            bound=cfg.load_bound if self.is_engine else None,
            rho=self._rho(now, added=1),
            capacity=self.capacity,
            cold_limit=self._cold_limit.value,
            hint=hint,
            no_cache=no_cache,
        )

    def _known_hint(self, chat: int, now: float) -> str:
        hint = self._chats.find_hint(chat, now=now)
        known = {host.name for host in self._board.read(HOSTS) if host.state is HostState.LIVE}
        return hint if hint in known else ""
