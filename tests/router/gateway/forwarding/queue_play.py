"""Load plays of many routers in front of servers with few slots, in simulated time.

Picker, view, reports and queue are those of the gateway; network and servers are simulated.
"""

from __future__ import annotations

import asyncio
import random
import selectors
from collections import Counter
from types import SimpleNamespace
from typing import Any
from typing import NamedTuple

from tests.router.gateway.builders import make_entry
from tests.router.gateway.builders import make_route

from cornellead.gateway.forwarding import NoServer
from cornellead.gateway.forwarding import ServerPicker
from cornellead.gateway.forwarding._admitted_request import AdmittedRequest
from cornellead.gateway.forwarding._place_waiter import PlaceWaiter
from cornellead.gateway.forwarding._request_trace import RequestTrace
from cornellead.gateway.ingress import ServingState
from cornellead.gateway.policy import ColdStartLimiter
from cornellead.gateway.policy import RequestAttempts
from cornellead.gateway.policy import ServerRateLimiter
from cornellead.gateway.policy import retry_after_s
from cornellead.gateway.stats import GatewayStats
from cornellead.gateway.view import FleetView
from cornellead.gateway.view import RouterLoad
from cornellead.gateway.view import ServerState
from cornellead_core.metrics import Metrics
from cornellead_core.routing import ReportedLoad
from cornellead_core.routing import RequestKind
from cornellead_core.routing import RouterLocation
from cornellead_core.routing import Service

NETWORK_S = 0.005
RECIPIENTS = 8
ORDINARY_TEAMS = 8


class Kind(NamedTuple):
    """Requests of one route."""

    urgency: int
    per_s: float
    work_s: float
    first_byte_s: float
    """Time from the start of the work to the first byte."""
    target_s: float
    deadline_s: float


class Play(NamedTuple):
    """Load and fleet of one run."""

    kinds: tuple[Kind, ...]
    factor: float
    """Multiple of the usual rates in the busy seconds, 1 to 4."""
    servers: int
    slots: int
    server_queue: int
    queue: bool
    streaming: bool = False
    routers: int = 20
    large_team: float = 1.0
    """Rate of one team as a multiple of that of each other one."""
    slow_servers: int = 0
    slowness: float = 2.5
    lost_router_at: float | None = None
    seconds: float = 5.0
    seed: int = 1
    report_interval_s: float = 0.2


class PlayResult:
    """What callers got."""

    def __init__(self) -> None:
        self.asked = Counter[tuple[str, int]]()
        self.in_time = Counter[tuple[str, int]]()
        self.served = 0
        self.refused = 0
        self.most_held = 0
        self.held_at_end = 0

    def add(self, labels: list[tuple[str, int]], *, in_time: bool) -> None:
        """Count a request under each of its labels."""
        self.asked.update(labels)
        if in_time:
            self.in_time.update(labels)

    def share(self, label: str, number: int = 0) -> float:
        """Return the share of the requests with a label that were served in time."""
        return self.in_time[label, number] / max(1, self.asked[label, number])

    def worst(self, label: str, *, beside: int | None = None) -> float:
        """Return the lowest share among the numbers of a label, one of them left out."""
        return min(
            self.share(name, number)
            for name, number in self.asked
            if name == label and number != beside
        )

    def summary(self) -> str:
        """Return the figures in one line."""
        urgencies = sorted(number for name, number in self.asked if name == "urgency")
        by_urgency = " ".join(f"{n}:{self.share('urgency', n):.3f}" for n in urgencies)
        return (
            f"asked {self.asked['all', 0]} in time {self.share('all'):.3f} by urgency {by_urgency}"
            f" team 0 {self.share('team'):.3f} worst other {self.worst('team', beside=0):.3f}"
            f" worst second {self.worst('second'):.3f}"
            f" served {self.served} refused {self.refused} most held {self.most_held}"
        )


class _TimeSelector(selectors.SelectSelector):
    """Advances the simulated time instead of waiting."""

    now = 0.0

    def select(self, timeout: float | None = None) -> list[Any]:
        self.now += timeout or 0.0
        return []


class _Server:
    def __init__(self, name: str, play: Play, *, speed: float) -> None:
        self.name, self.play, self.speed = name, play, speed
        self.running = 0
        self.waiting: list[tuple[int, asyncio.Future[None]]] = []

    def report(self) -> ReportedLoad:
        return ReportedLoad(self.running, len(self.waiting), self.play.slots)

    async def take_slot(self, urgency: int) -> bool:
        if self.running < self.play.slots:
            self.running += 1
            return True
        if len(self.waiting) >= self.play.server_queue:
            return False
        fut: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        item = (urgency if self.play.streaming else 0, fut)
        self.waiting.insert(sum(1 for other in self.waiting if other[0] <= item[0]), item)
        try:
            await fut
        except asyncio.CancelledError:
            if item in self.waiting:
                self.waiting.remove(item)
            else:
                self.release_slot()
            raise
        return True

    def release_slot(self) -> None:
        self.running -= 1
        if self.waiting:
            self.running += 1
            self.waiting.pop(0)[1].set_result(None)


class _Router:
    def __init__(self, name: str, play: Play, clock: Any) -> None:
        self.view = FleetView(router=name)
        self.serving = ServingState()
        self.picker = ServerPicker(
            view=self.view,
            cold_limiter=ColdStartLimiter(router=name, burst=5.0),
            rate_limiter=ServerRateLimiter(router=name),
            data_centre="dc-a",
            regions={},
            load_factor=2.0,
        )
        self.waiter = PlaceWaiter(
            view=self.view,
            serving=self.serving,
            picker=self.picker,
            stats=GatewayStats(metrics=Metrics()),
            clock=clock,
        )
        self.waiter.includes_model_servers = play.streaming
        self.lost = False
        self.tasks: set[asyncio.Task[Any]] = set()
        for number in range(play.servers):
            entry = make_entry(f"s{number}", slots=play.slots)
            self.view.servers.put(entry, now=0.0)


class _Run:
    def __init__(self, play: Play) -> None:
        self.play, self.result, self.rng = play, PlayResult(), random.Random(play.seed)
        self.loop = asyncio.get_running_loop()
        self.clock = self.loop.time
        self.servers = {
            f"s{n}": _Server(f"s{n}", play, speed=play.slowness if n < play.slow_servers else 1.0)
            for n in range(play.servers)
        }
        self.routers = [_Router(f"r{n}", play, self.clock) for n in range(play.routers)]
        self.service = Service("llm", 100, 0.0, 0.0, play.slots, 1000 if play.streaming else 0)

    async def run(self) -> PlayResult:
        self._announce()
        reports = self.loop.create_task(self._report())
        tasks = [self.loop.create_task(self._arrive(kind)) for kind in self.play.kinds]
        await asyncio.gather(*tasks)
        await asyncio.sleep(max(kind.deadline_s for kind in self.play.kinds) + 1.0)
        self.result.held_at_end = sum(router.waiter.held for router in self.routers)
        reports.cancel()
        return self.result

    def _announce(self) -> None:
        now = self.clock()
        names = [router.view.router for router in self.routers if not router.lost]
        for router in self.routers:
            for name in names:
                location = RouterLocation(f"{name}:1", "dc-a")
                if name != router.view.router:
                    router.view.apply_announcement(name, location, now=now)

    async def _report(self) -> None:
        while True:
            await asyncio.sleep(self.play.report_interval_s)
            interval_s = self.play.report_interval_s * max(
                1.0, (len(self.routers) - 1) / RECIPIENTS
            )
            self._announce()
            now = self.clock()
            held = sum(router.waiter.held for router in self.routers)
            self.result.most_held = max(self.result.most_held, held)
            lost_at = self.play.lost_router_at
            if lost_at is not None and now >= lost_at and not self.routers[0].lost:
                self._lose(self.routers[0])
            living = [router for router in self.routers if not router.lost]
            for router in living:
                router.view.load.evict_expired(now=now)
                load = RouterLoad(router.view.router, router.view.servers.in_flight_counts())
                queue_report = router.waiter.reports.make_report()
                others = [other for other in living if other is not router]
                for other in self.rng.sample(others, min(RECIPIENTS, len(others))):
                    other.view.load.record_report(load, now=now)
                    other.view.load.interval_s = interval_s
                    if queue_report is not None:
                        other.waiter.reports.apply_report(queue_report, now=now)

    def _lose(self, router: _Router) -> None:
        router.lost = True
        for task in list(router.tasks):
            task.cancel()

    async def _arrive(self, kind: Kind) -> None:
        # The same arrivals with and without the queue.
        rng = random.Random(f"{self.play.seed}/{kind.urgency}")
        teams = [f"t{n}" for n in range(ORDINARY_TEAMS)]
        weights = [self.play.large_team, *[1.0] * (ORDINARY_TEAMS - 1)]
        per_team = kind.per_s / ORDINARY_TEAMS
        while self.clock() < self.play.seconds:
            factor = self.play.factor if 1.0 <= self.clock() < 4.0 else 1.0
            await asyncio.sleep(rng.expovariate(factor * per_team * sum(weights)))
            team = rng.choices(teams, weights)[0]
            self.loop.create_task(self._call(kind, team, f"{rng.random()}"))

    async def _call(self, kind: Kind, team: str, request_id: str) -> None:
        asked_at = self.clock()
        deadline, first_byte_at = asked_at + kind.deadline_s, None
        for attempt in range(2):
            router = self.rng.choice([router for router in self.routers if not router.lost])
            task = self.loop.create_task(self._handle(router, kind, team, request_id, deadline))
            router.tasks.add(task)
            done, _ = await asyncio.wait({task}, timeout=deadline - self.clock())
            router.tasks.discard(task)
            task.cancel()
            if not done or task.cancelled():
                break
            first_byte_at, wait_s = task.result()
            if first_byte_at is not None or attempt:
                break
            left_s = deadline - self.clock()
            delay = retry_after_s(wait_s=wait_s, time_left_s=left_s, request_id=request_id)
            await asyncio.sleep(delay)
        in_time = first_byte_at is not None and first_byte_at - asked_at <= kind.target_s
        self.result.served += first_byte_at is not None
        self.result.refused += first_byte_at is None
        labels = [("all", 0), ("urgency", kind.urgency), ("team", int(team[1:]))]
        self.result.add([*labels, ("second", int(asked_at))], in_time=in_time)

    def _admit(self, kind: Kind, team: str, request_id: str, deadline: float) -> AdmittedRequest:
        route = make_route(
            "x",
            RequestKind.STREAMING if self.play.streaming else RequestKind.UNSAFE,
            target_latency_s=kind.target_s,
            priority=kind.urgency,
        )
        affinity = f"chat{request_id[-2:]}" if self.play.streaming else ""
        attempts = RequestAttempts(repeatable=False, max_attempts=2, deadline=deadline)
        fields: dict[str, Any] = {
            "req": SimpleNamespace(received_at=self.clock(), body=b""),
            "caller": SimpleNamespace(request_id=request_id, prompt_tokens=0),
            "route": route,
            "service": self.service,
            "team": team,
            "urgency": kind.urgency,
            "regions": frozenset(),
            "affinity": affinity,
            "shared_tokens": 0,
            "parts": (),
            "attempts": attempts,
            "config_version": 1,
        }
        return AdmittedRequest(**fields)

    async def _handle(
        self, router: _Router, kind: Kind, team: str, request_id: str, deadline: float
    ) -> tuple[float | None, float]:
        admitted = self._admit(kind, team, request_id, deadline)
        context: Any = SimpleNamespace(
            admitted=admitted, trace=RequestTrace(request_id, started_at=self.clock())
        )
        if self.play.queue:
            wait_s = await router.waiter.hold(context)
            if wait_s is not None:
                return None, wait_s
        tried: set[str] = set()
        while len(tried) < 2:
            picked = router.picker.pick(admitted, tried=tried, now=self.clock())
            if isinstance(picked, NoServer):
                return None, picked.wait_s or 0.4
            tried.add(picked.entry.server)
            first_byte_at = await self._send(router, picked, kind)
            if first_byte_at is not None:
                return first_byte_at, 0.0
        return None, 0.4

    async def _send(self, router: _Router, state: ServerState, kind: Kind) -> float | None:
        server, number = self.servers[state.entry.server], self.rng.getrandbits(60)
        state.health.start_request(number, now=self.clock(), urgency=kind.urgency)
        holds_slot = False
        sent_at = self.clock()
        try:
            await asyncio.sleep(NETWORK_S)
            if not await server.take_slot(kind.urgency):
                await self._receive(router, state, server)
                return None
            holds_slot, started_at = True, self.clock()
            await asyncio.sleep(kind.first_byte_s * server.speed)
            await self._receive(router, state, server)
            first_byte_at = self.clock()
            state.health.record_latency(first_byte_at - sent_at)
            rest_s = (kind.work_s - kind.first_byte_s) * server.speed
            await asyncio.sleep(max(0.0, rest_s))
            state.health.record_stream_duration(self.clock() - started_at)
            return first_byte_at
        finally:
            if holds_slot:
                server.release_slot()
            state.health.finish_request(number)
            router.waiter.wake("llm", ended_at=state)

    async def _receive(self, router: _Router, state: ServerState, server: _Server) -> None:
        report = server.report()
        await asyncio.sleep(NETWORK_S)
        state.record_reported_load(report, now=self.clock())
        state.health.record_data_received(now=self.clock())
        router.waiter.wake("llm")


def run_play(play: Play) -> PlayResult:
    """Run a play; the same play gives the same result."""
    selector = _TimeSelector()
    loop = asyncio.SelectorEventLoop(selector)
    loop.time = lambda: selector.now  # type: ignore[method-assign]
    try:
        return loop.run_until_complete(_run(play))
    finally:
        loop.close()


async def _run(play: Play) -> PlayResult:
    return await _Run(play).run()
