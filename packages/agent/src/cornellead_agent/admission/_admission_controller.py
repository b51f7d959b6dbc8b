"""Admission control of one agent: requests in flight, limits and refusal counters."""

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
from cornellead_core.load import single_server_group
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

MIN_DURATION_WEIGHT = 0.05
"""Weight of the newest request in the moving mean of request durations, once the mean has enough
samples."""
MIN_HORIZON_S = 0.5
MAX_HORIZON_S = 12.0
"""Bounds on the horizon, the age at which a load summary no longer counts. The horizon follows the
mean request duration: without new requests, the load ends within that time."""
MIN_MEAN_FOR_RATIO = 4.0
"""Mean load below which `max_over_mean` is not updated."""
SEQ_BASE_UNIX_S = 1_767_225_600
"""Unix time at which sequence numbers start, so that they fit into 32 bits."""


class AdmissionController:
    """Admits or refuses requests and tracks those in flight.

    Not thread-safe: all methods run on the event loop.

    :param incarnation: Unix time in milliseconds at which this process started.
    :param started_at: Monotonic time at which this process started. Until ``join_grace_s`` later,
        returning chats without a cache here are refused unless the request asks to adopt them.
    """

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
        # Starts above the last number of the previous process, which sent at most 16 summaries
        # per second.
        self.first_seq = max(0, incarnation // 1000 - SEQ_BASE_UNIX_S) * 16
        self._seq = self.first_seq
        self._group = single_server_group(settings.process.name)
        self._horizon_s = HORIZON_S
        self._finished = 0
        self._hosts_revision = -1
        self._live_hosts: set[str] = set()
        self._leaving_hosts: set[str] = set()
        self._config_revision = -1
        self._load_bound = DEFAULT_BOUND
        self.has_own_summary = True
        """Whether this server publishes a load summary of its own, as in a small fleet, or is part
        of its group's summary."""
        self.in_flight = 0
        self.admissions = 0
        self.refusals: dict[str, int] = {}
        self.max_over_mean = 0.0
        """Highest ratio of this server's load to the mean load at an admission."""

    @property
    def is_engine(self) -> bool:
        """Whether the server is a model engine, to which the load bound applies."""
        return not self._settings.server.service

    @property
    def capacity(self) -> int:
        """Concurrent requests that the server can handle when warm."""
        return self._settings.server.capacity

    @property
    def state(self) -> ServerState:
        """Serving state, derived from the configuration, the host list and the server's health."""
        process = self._settings.process
        cfg = self._board.read(CONFIG)
        server = cfg.servers.get(process.name)
        self._refresh_host_states()
        leaving = process.name in self._leaving_hosts
        if self._board.read(DRAINING) or leaving or (server is not None and server.draining):
            return ServerState.DRAINING
        if process.dc in cfg.out_of_service:
            return ServerState.OUT_OF_SERVICE
        if not self._board.read(SERVER).up or not self._board.read(ANNOUNCED):
            return ServerState.DOWN
        return ServerState.SERVING

    def admit(self, request: AdmissionRequest, *, chat: int | None, now: float) -> Refusal | None:
        """Return the refusal of a request, or ``None`` after counting it as in flight.

        :param chat: Key of the chat, or ``None`` for a request without one.
        """
        refusal = decide_admission(request, self._make_view(chat, request.returning, now), now=now)
        if refusal is not None:
            self.count_refusal(refusal.reason.value)
            return refusal
        self.in_flight += 1
        self.admissions += 1
        if self.is_engine:
            self._record_load_ratio(now)
        return None

    def _record_load_ratio(self, now: float) -> None:
        mean = self.capacity * self.estimate(now=now).rho
        # With a lower mean, rounding to whole requests dominates the ratio.
        if mean >= MIN_MEAN_FOR_RATIO:
            self.max_over_mean = max(self.max_over_mean, self.in_flight / mean)

    def finish(self, *, duration_s: float) -> None:
        """Remove a request from those in flight and record its duration.

        :param duration_s: Time since its admission, in seconds.
        """
        self.in_flight -= 1
        self._finished += 1
        weight = max(MIN_DURATION_WEIGHT, 1 / (1 + self._finished))
        self._horizon_s += weight * (duration_s - self._horizon_s)
        self._horizon_s = min(MAX_HORIZON_S, max(MIN_HORIZON_S, self._horizon_s))

    def count_refusal(self, reason: str) -> None:
        """Increment the refusal counter of a reason."""
        self.refusals[reason] = self.refusals.get(reason, 0) + 1

    def limit(self, *, now: float, rho: float | None = None, fallback: bool = False) -> int:
        """Return the current concurrency limit for interactive requests.

        :param rho: Mean load per unit of capacity; the present estimate by default.
        :param fallback: Whether to return the limit for fallback requests, which apply the full
            load bound and ignore the cold limit.
        """
        limit = bound_limit(
            bound=self._effective_bound(),
            capacity=self.capacity,
            rho=self.estimate(now=now, added=1).rho if rho is None else rho,
            fallback=fallback,
            margin=DEFAULT_MARGIN,
        )
        return limit if fallback else min(limit, self._cold_limit.value)

    def summary(self) -> DcSummary:
        """Return a load summary that covers this server only.

        Load and capacity are zero unless the server serves or is still being announced.
        """
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
        """Return the load digest that responses carry to routers."""
        self._refresh_own_summary(now)
        return Digest(self._table.summaries(now=now, max_age_s=EXPIRY_S), self.report(now=now))

    def estimate(self, *, now: float, added: int = 0) -> LoadEstimate:
        """Estimate the mean load of the fleet.

        :param added: Requests to include besides those in flight.
        """
        self._refresh_own_summary(now)
        return self._table.estimate(
            now=now,
            excluded=self._board.read(CONFIG).out_of_service,
            added=added,
            known_in_flight=self.in_flight,
            horizon_s=self._horizon_s,
        )

    def _refresh_own_summary(self, now: float) -> None:
        if self.is_engine and self.has_own_summary:
            self._table.merge_summary(self.summary(), now=now)

    def _make_view(self, chat: int | None, returning: bool, now: float) -> AdmissionView:
        cfg = self._board.read(CONFIG)
        hint, holder, no_cache = "", "", False
        if chat is not None and returning:
            if self._chats.holds(chat):
                holder = self._settings.process.name
            else:
                hint = self._find_live_hint(chat, now)
                no_cache = now - self._started_at < self._settings.join_grace_s
        estimate = self.estimate(now=now, added=1)
        return AdmissionView(
            state=self.state,
            config_offset=cfg.offset,
            in_flight=self.in_flight,
            bound=self._effective_bound(),
            rho=estimate.rho,
            stale_rho=estimate.stale_rho,
            estimate_age_s=estimate.oldest_s,
            capacity=self.capacity,
            cold_limit=self._cold_limit.value,
            hint=hint,
            holder=holder,
            no_cache=no_cache,
        )

    def _find_live_hint(self, chat: int, now: float) -> str:
        self._refresh_host_states()
        hint = self._chats.find_hint(chat, now=now)
        return hint if hint in self._live_hosts else ""

    def _refresh_host_states(self) -> None:
        # Cached by revision: scanning the host list, 1,330 entries at the target fleet size, is
        # too slow for each admission.
        revision = self._board.revision(HOSTS)
        if revision == self._hosts_revision:
            return
        self._hosts_revision = revision
        hosts = self._board.read(HOSTS)
        self._live_hosts = {host.name for host in hosts if host.state is HostState.LIVE}
        self._leaving_hosts = {host.name for host in hosts if host.state is HostState.LEAVING}

    def _effective_bound(self) -> float | None:
        if not self.is_engine:
            return None
        revision = self._board.revision(CONFIG)
        if revision != self._config_revision:
            self._config_revision = revision
            self._load_bound = self._board.read(CONFIG).load_bound
        return self._load_bound
