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
from cornellead_core.load import DEFAULT_BOUND
from cornellead_core.load import DEFAULT_MARGIN
from cornellead_core.load import EXPIRY_S
from cornellead_core.load import HORIZON_S
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
    from cornellead_core.load import LoadEstimate
    from cornellead_core.load import LoadTable
    from cornellead_core.outcomes import Refusal
    from cornellead_core.settings import AgentSettings

DURATION_WEIGHT = 0.05
"""Weight of the newest request in the moving mean of their time."""
MIN_HORIZON_S = 0.5
MAX_HORIZON_S = 12.0
"""Bounds on the time in which the load of a fleet that gets no requests is taken to end."""
RATIO_MIN_MEAN = 4.0
"""Mean load from which admissions count for the highest ratio seen."""
SEQ_EPOCH_S = 1_767_225_600
"""Unix time from which summaries are numbered, so that the numbers fit into 32 bits."""


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
        # Numbers continue above those of the process before, at up to 16 summaries a second.
        self.first_seq = max(0, incarnation // 1000 - SEQ_EPOCH_S) * 16
        self._seq = self.first_seq
        self._group = server_group(settings.process.name)
        self._horizon_s = HORIZON_S
        self._finished = 0
        self._hosts_revision = -1
        self._live_hosts: set[str] = set()
        self._leaving_hosts: set[str] = set()
        self._config_revision = -1
        self._load_bound = DEFAULT_BOUND
        self.alone = True
        """Whether this server is summarised alone, as in a small fleet, or with its group."""
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
        self._index_hosts()
        leaving = process.name in self._leaving_hosts
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
            self._record_ratio(now)
        return None

    def _record_ratio(self, now: float) -> None:
        mean = self.capacity * self.estimate(now=now).rho
        # Below this mean the ratio says more of the rounding than of the balance.
        if mean >= RATIO_MIN_MEAN:
            self.max_over_mean = max(self.max_over_mean, self.in_flight / mean)

    def finish(self, *, duration_s: float) -> None:
        """Count a request as no longer in flight.

        :param duration_s: Time since its admission, in seconds.
        """
        self.in_flight -= 1
        self._finished += 1
        weight = max(DURATION_WEIGHT, 1 / (1 + self._finished))
        self._horizon_s += weight * (duration_s - self._horizon_s)
        self._horizon_s = min(MAX_HORIZON_S, max(MIN_HORIZON_S, self._horizon_s))

    def count_refusal(self, reason: str) -> None:
        """Count a refusal by its reason."""
        self.refusals[reason] = self.refusals.get(reason, 0) + 1

    def limit(self, *, now: float, rho: float | None = None, fallback: bool = False) -> int:
        """Return the present limit for interactive requests."""
        limit = bound_limit(
            bound=self._bound(),
            capacity=self.capacity,
            rho=self.estimate(now=now, added=1).rho if rho is None else rho,
            fallback=fallback,
            margin=DEFAULT_MARGIN,
        )
        return limit if fallback else min(limit, self._cold_limit.value)

    def summary(self) -> DcSummary:
        """Return the summary of this server alone."""
        self._seq += 1
        live = self.state is ServerState.SERVING or not self._board.read(ANNOUNCED)
        return DcSummary(
            self._settings.process.dc,
            self._group,
            self._seq,
            0,
            self.in_flight if live else 0,
            self.capacity if live else 0,
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
        self._refresh(now)
        return Digest(self._table.summaries(now=now, max_age_s=EXPIRY_S), self.report(now=now))

    def estimate(self, *, now: float, added: int = 0) -> LoadEstimate:
        """Estimate the mean load of the fleet.

        :param added: Requests to count besides those in flight.
        """
        self._refresh(now)
        return self._table.estimate(
            now=now,
            excluded=self._board.read(CONFIG).out_of_service,
            added=added,
            at_least=self.in_flight,
            horizon_s=self._horizon_s,
        )

    def _refresh(self, now: float) -> None:
        if self.is_engine and self.alone:
            self._table.merge_summary(self.summary(), now=now)

    def _view(self, chat: int | None, returning: bool, now: float) -> AdmissionView:
        cfg = self._board.read(CONFIG)
        hint, holder, no_cache = "", "", False
        if chat is not None and returning:
            if self._chats.holds(chat):
                holder = self._settings.process.name
            else:
                hint = self._known_hint(chat, now)
                no_cache = now - self._started_at < self._settings.join_grace_s
        estimate = self.estimate(now=now, added=1)
        return AdmissionView(
            state=self.state,
            config_offset=cfg.offset,
            in_flight=self.in_flight,
            bound=self._bound(),
            rho=estimate.rho,
            stale_rho=estimate.stale_rho,
            estimate_age_s=estimate.oldest_s,
            capacity=self.capacity,
            cold_limit=self._cold_limit.value,
            hint=hint,
            holder=holder,
            no_cache=no_cache,
        )

    def _known_hint(self, chat: int, now: float) -> str:
        self._index_hosts()
        hint = self._chats.find_hint(chat, now=now)
        return hint if hint in self._live_hosts else ""

    def _index_hosts(self) -> None:
        # A decision must not scan the list, which has 1,330 entries at the target size.
        revision = self._board.revision(HOSTS)
        if revision == self._hosts_revision:
            return
        self._hosts_revision = revision
        hosts = self._board.read(HOSTS)
        self._live_hosts = {host.name for host in hosts if host.state is HostState.LIVE}
        self._leaving_hosts = {host.name for host in hosts if host.state is HostState.LEAVING}

    def _bound(self) -> float | None:
        if not self.is_engine:
            return None
        revision = self._board.revision(CONFIG)
        if revision != self._config_revision:
            self._config_revision = revision
            self._load_bound = self._board.read(CONFIG).load_bound
        return self._load_bound
