"""Discrete-event simulation of a fleet that checks the load bound at every admission.

Admission, load exchange and load estimates are the agent's own code; the network, arrivals, service
times and the router's attempts are simulated.
"""

from __future__ import annotations

import heapq
import itertools
import random
from typing import TYPE_CHECKING
from typing import NamedTuple

from cornellead_agent.admission import AdmissionController
from cornellead_agent.admission import AdmissionRequest
from cornellead_agent.admission import ColdLimit
from cornellead_agent.chats import ChatIndex
from cornellead_agent.exchange import LoadNode
from cornellead_agent.exchange import Member
from cornellead_agent.facts import ANNOUNCED
from cornellead_agent.facts import SERVER
from cornellead_agent.facts import ServerView
from cornellead_core.blackboard import Blackboard
from cornellead_core.load import DEFAULT_BOUND
from cornellead_core.load import Digest
from cornellead_core.load import LoadTable
from cornellead_core.load import admission_limit
from cornellead_core.placement import WeightedNode
from cornellead_core.placement import order_by_rendezvous
from cornellead_core.settings import AgentSettings
from cornellead_core.settings import ProcessSettings
from cornellead_core.settings import ServerSettings

if TYPE_CHECKING:
    from collections.abc import Callable

    from cornellead_core.wire import LoadExchange
    from cornellead_core.wire import LoadReportMessage

MAX_ATTEMPTS = 4
REQUEUE_DELAY_S = 0.2
ANNOUNCE_DELAY_S = 1.0
WARM_UP_S = 2.0
"""Time before the first request, in which agents exchange load as in a running fleet."""


class SimulationCase(NamedTuple):
    """Parameters of one simulation run; times in seconds."""

    seed: int
    capacities: tuple[int, ...]
    routers: int = 3
    data_centres: int = 3
    mean: float = 8.0
    """Mean number of requests in flight per engine that the arrival rate would produce."""
    service_s: float = 3.0
    duration_s: float = 20.0
    surge: float = 1.0
    """Factor on the arrival rate during the middle third of the run."""
    message_loss: float = 0.0
    """Fraction of control messages that are lost."""
    latency_s: float = 0.002
    engine_starts_s: tuple[float, ...] = ()
    """Times at which an engine starts."""
    engine_losses_s: tuple[float, ...] = ()
    """Times at which a random engine stops abruptly."""
    host_lag_s: float = 1.0
    """Delay until a started engine is in the host list of its peers."""
    max_wait_s: float = 3.0
    """Time after which a waiting request is abandoned."""


class SimulationResult(NamedTuple):
    """Totals of one simulation run."""

    admitted: int
    bound_violations: int
    """Admissions that put an engine above its limit."""
    abandoned: int
    """Requests that waited longer than `SimulationCase.max_wait_s`."""
    attempts: int
    """Attempts to get a request admitted, one engine each."""
    max_load_ratio: float
    """Highest ratio of load to limit after an admission."""
    waits_s: list[float]
    """Times from arrival to admission, sorted."""


class _Engine:
    def __init__(self, name: str, dc: str, capacity: int, now: float) -> None:
        self.name = name
        self.dc = dc
        self.capacity = capacity
        self.alive = True
        self.started_at = now
        self.board = Blackboard()
        self.board.write(SERVER, ServerView(up=True))
        self.table = LoadTable()
        process = ProcessSettings(name, "r", dc, "", "", "", "k" * 16)
        self.admission = AdmissionController(
            settings=AgentSettings(process, ServerSettings("", capacity=capacity)),
            board=self.board,
            table=self.table,
            cold_limit=ColdLimit(start=capacity, capacity=capacity, ceiling_s=1.0),
            chats=ChatIndex(),
            incarnation=1,
            started_at=now - 1000,
        )
        self.node = LoadNode(name=name, dc=dc, admission=self.admission, table=self.table)


class _Router:
    def __init__(self) -> None:
        self.table = LoadTable()


class LoadSimulation:
    """Simulates one case in virtual time and checks each admission against the true mean load."""

    def __init__(self, case: SimulationCase) -> None:
        self.case = case
        self.now = 0.0
        self.rng = random.Random(case.seed)
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence = itertools.count()
        self._engines: dict[str, _Engine] = {}
        self._routers = [_Router() for _ in range(case.routers)]
        self._generation: dict[str, int] = {}
        self._counts = dict.fromkeys(("admitted", "bound_violations", "abandoned", "attempts"), 0)
        self._max_load_ratio = 0.0
        self._waits_s: list[float] = []
        for capacity in case.capacities:
            self._start_engine(capacity, announced=True)
        self._listed = dict.fromkeys(self._engines, -100.0)
        for at_s in case.engine_starts_s:
            self._schedule_at(at_s, lambda: self._start_engine(self.rng.choice(case.capacities)))
        for at_s in case.engine_losses_s:
            self._schedule_at(at_s, self._stop_random_engine)
        self._schedule_at(WARM_UP_S, self._handle_arrival)

    def run(self) -> SimulationResult:
        """Process events in order of time until the end of the case."""
        while self._events and self._events[0][0] <= self.case.duration_s:
            self.now, _, action = heapq.heappop(self._events)
            action()
        return SimulationResult(
            **self._counts, max_load_ratio=self._max_load_ratio, waits_s=sorted(self._waits_s)
        )

    def _schedule_at(self, time_s: float, action: Callable[[], None]) -> None:
        heapq.heappush(self._events, (time_s, next(self._sequence), action))

    def _schedule_after(self, delay_s: float, action: Callable[[], None]) -> None:
        self._schedule_at(self.now + delay_s, action)

    def _sample_latency(self) -> float:
        return self.case.latency_s * (0.5 + self.rng.random())

    # Engines and their load exchange.

    def _start_engine(self, capacity: int, *, announced: bool = False) -> None:
        index = len(self._engines)
        dc = f"dc{index % self.case.data_centres}"
        engine = _Engine(f"s{index:03}", dc, capacity, self.now)
        self._engines[engine.name] = engine
        engine.board.write(ANNOUNCED, announced)
        if not announced:
            self._schedule_after(
                ANNOUNCE_DELAY_S + self.case.host_lag_s, lambda: engine.board.write(ANNOUNCED, True)
            )
        else:
            engine.started_at = -100.0
        self._schedule_after(0.1 * self.rng.random(), lambda: self._run_round(engine))

    def _stop_random_engine(self) -> None:
        live = [engine for engine in self._engines.values() if engine.alive]
        if len(live) > 3:
            self.rng.choice(live).alive = False

    def _members(self) -> list[Member]:
        return [
            Member(engine.name, engine.dc)
            for engine in self._engines.values()
            if engine.alive and self.now - engine.started_at >= self.case.host_lag_s
        ]

    def _run_round(self, engine: _Engine) -> None:
        if not engine.alive:
            return
        for peer, message in engine.node.start_round(self._members(), now=self.now):
            self._send(engine, self._engines[peer], message)  # type: ignore[arg-type]
        self._schedule_after(engine.node.interval_s, lambda: self._run_round(engine))

    def _send(
        self, engine: _Engine, peer: _Engine, message: LoadExchange | LoadReportMessage
    ) -> None:
        sent_at = self.now

        def on_timeout() -> None:
            engine.node.record_failure(peer.name, now=self.now)

        def on_reply(reply: LoadExchange) -> None:
            engine.node.record_reply(peer.name, reply, sent_at=sent_at)

        def on_receive() -> None:
            if not peer.alive or self.rng.random() < self.case.message_loss:
                self._schedule_after(0.5, on_timeout)
                return
            reply = peer.node.handle(message, now=self.now)
            if self.rng.random() < self.case.message_loss:
                self._schedule_after(0.5, on_timeout)
                return
            self._schedule_after(self._sample_latency(), lambda: on_reply(reply))

        self._schedule_after(self._sample_latency(), on_receive)

    # Requests: arrival, routing and admission.

    def _handle_arrival(self) -> None:
        third_s = self.case.duration_s / 3
        rate_per_s = self.case.mean * len(self.case.capacities) / self.case.service_s
        if third_s <= self.now < 2 * third_s:
            rate_per_s *= self.case.surge
        self._schedule_after(self.rng.expovariate(rate_per_s), self._handle_arrival)
        # Skewed load: half of the requests belong to a tenth of the chats.
        chat = self.rng.randrange(20) if self.rng.random() < 0.5 else self.rng.randrange(20, 200)
        self._route(self.rng.choice(self._routers), chat, self.now)

    def _route(self, router: _Router, chat: int, arrived_at: float) -> None:
        # Failed connections reveal a lost engine to routers before the host list does.
        engines = [engine for engine in self._engines.values() if engine.alive]
        candidates = order_by_rendezvous(
            str(chat).encode(), [WeightedNode(engine.name, engine.capacity) for engine in engines]
        )
        self._attempt(router, chat, arrived_at, candidates[:MAX_ATTEMPTS], [])

    def _attempt(
        self,
        router: _Router,
        chat: int,
        arrived_at: float,
        candidates: list[str],
        refused_by: list[str],
    ) -> None:
        fallback = not candidates
        if fallback:
            serving = [e.name for e in self._engines.values() if e.board.read(ANNOUNCED)]
            target = min(serving, key=lambda name: self._reported_load(router, name))
        else:
            target, candidates = candidates[0], candidates[1:]
        digest = Digest(router.table.summaries(now=self.now, max_age_s=3.0))
        self._counts["attempts"] += 1
        engine = self._engines[target]

        def on_response(admitted: bool, response_digest: Digest) -> None:
            router.table.merge(response_digest, now=self.now)
            if admitted:
                return
            if not fallback:
                self._attempt(router, chat, arrived_at, candidates, [*refused_by, target])
            elif self.now - arrived_at < self.case.max_wait_s:
                self._schedule_after(REQUEUE_DELAY_S, lambda: self._route(router, chat, arrived_at))
            else:
                self._counts["abandoned"] += 1

        def on_request() -> None:
            if not engine.alive:
                self._schedule_after(REQUEUE_DELAY_S, lambda: self._route(router, chat, arrived_at))
                return
            engine.table.merge(digest, now=self.now)
            admitted = self._admit(engine, fallback=fallback)
            if admitted:
                self._waits_s.append(self.now - arrived_at)
            response_digest = engine.admission.digest(now=self.now)
            self._schedule_after(
                self._sample_latency(), lambda: on_response(admitted, response_digest)
            )

        self._schedule_after(self._sample_latency(), on_request)

    def _reported_load(self, router: _Router, name: str) -> float:
        report = router.table.report(name, now=self.now)
        if not self._engines[name].alive:
            return 1e9
        return -1.0 if report is None else (report.load + self.rng.random()) / report.capacity

    def _admit(self, engine: _Engine, *, fallback: bool) -> bool:
        request = AdmissionRequest(fallback=fallback)
        if engine.admission.admit(request, chat=None, now=self.now) is not None:
            return False
        self._check_bound(engine)

        duration_s = self.rng.expovariate(1 / self.case.service_s)
        self._schedule_after(duration_s, lambda: engine.admission.finish(duration_s=duration_s))
        return True

    def _check_bound(self, engine: _Engine) -> None:
        live = [e for e in self._engines.values() if e.alive and e.board.read(ANNOUNCED)]
        rho = sum(e.admission.in_flight for e in live) / sum(e.capacity for e in live)
        limit = admission_limit(multiple=DEFAULT_BOUND, capacity=engine.capacity, rho=rho)
        self._counts["admitted"] += 1
        self._counts["bound_violations"] += engine.admission.in_flight > limit
        self._max_load_ratio = max(self._max_load_ratio, engine.admission.in_flight / limit)
