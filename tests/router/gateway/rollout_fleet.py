"""Routers that roll a version out, with a store in memory and simulated responses."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING
from typing import NamedTuple
from typing import cast

from returns.result import Failure
from returns.result import Result
from returns.result import Success
from tests.router.gateway.builders import make_config
from tests.router.gateway.builders import make_entry

from cornellead.gateway.forwarding._outcome import DeliveredResponse
from cornellead.gateway.forwarding._outcome import ErrorResponse
from cornellead.gateway.forwarding._rollout_gate import RolloutGate
from cornellead.gateway.stats import GatewayStats
from cornellead.gateway.sync import RolloutController
from cornellead.gateway.view import FleetView
from cornellead_core.metrics import Metrics
from cornellead_core.routing import NoticeBatch
from cornellead_core.routing import RolloutNotice
from cornellead_core.routing import RolloutOrder
from cornellead_core.routing import RolloutRecord
from cornellead_core.routing import RouterLocation
from cornellead_core.routing import StoreError
from cornellead_core.routing import Topic

if TYPE_CHECKING:
    from collections.abc import Callable

    from cornellead.gateway.forwarding import AdmittedRequest
    from cornellead.gateway.forwarding._attempt import Attempt
    from cornellead.gateway.view import ServerState
    from cornellead_core.routing import FleetStore

SERVICE = "llm"
EXPOSURE_SHARE = 0.1
STEP_S = 0.1
RECIPIENTS = 8
USUAL_S = 0.1
ROUTES = ("safe", "unsafe", "stream")


class Outcome(NamedTuple):
    """What a server does with a request."""

    ok: bool = True
    seconds: float = USUAL_S


class MemoryStore:
    """Keeps the states and statuses of rollouts."""

    def __init__(self) -> None:
        self.records: list[RolloutNotice] = []
        self.statuses: list[tuple[str, str]] = []
        self.down = False
        self.status_down = False
        self.calls = 0
        self.refused = 0

    async def read_newest(self, topic: Topic) -> Result[NoticeBatch, StoreError]:
        assert topic is Topic.ROLLOUTS
        self.calls += 1
        if self.down:
            return Failure(StoreError("down"))
        newest = {notice.service: notice for notice in self.records}
        return Success(NoticeBatch([*newest.values()], len(self.records)))

    async def append_rollout(
        self, service: str, record: RolloutRecord, *, at: int
    ) -> Result[bool, StoreError]:
        self.calls += 1
        if self.down:
            return Failure(StoreError("down"))
        if at != len(self.records):
            self.refused += 1
            return Success(False)
        self.records.append(RolloutNotice(service, record))
        return Success(True)

    async def publish_rollout_status(
        self, service: str, record: RolloutRecord
    ) -> Result[None, StoreError]:
        self.calls += 1
        if self.down or self.status_down:
            return Failure(StoreError("down"))
        self.statuses.append((record.phase.status, record.to))
        return Success(None)


class _Attempts:
    def __init__(self) -> None:
        self.sends = 0


class _Named:
    def __init__(self, name: str) -> None:
        self.name = name
        self.target_latency_s = USUAL_S


class _Request:
    """The fields of an admitted request that the gate reads."""

    def __init__(self, route: str) -> None:
        self.service, self.route, self.attempts = _Named(SERVICE), _Named(route), _Attempts()


class _Attempt:
    """The fields of an attempt that the gate reads."""

    def __init__(self, state: ServerState, sent_at: float, first_byte_s: float) -> None:
        self.state, self.sent_at, self.first_byte_s = state, sent_at, first_byte_s


class SimulatedRouter:
    """The part of a router that takes part in rollouts."""

    def __init__(self, name: str, fleet: RolloutFleet) -> None:
        self.name, self.running = name, True
        self.view = FleetView(router=name)
        self.view.activate_config(make_config())
        for server, version in fleet.servers.items():
            self.view.servers.put(make_entry(server, version=version), now=fleet.now)
        for other in fleet.names:
            self.view.apply_announcement(other, RouterLocation("a:1", "dc-a"), now=fleet.now)
        self.gate = RolloutGate(view=self.view)
        self.controller = RolloutController(
            reader=cast("FleetStore", fleet.store),
            store=fleet.store,
            view=self.view,
            stats=GatewayStats(metrics=Metrics()),
            clock=lambda: fleet.now,
            exposure_share=lambda: EXPOSURE_SHARE,
            read_interval_s=lambda: 1.0,
        )


class RolloutFleet:
    """Routers and servers of two versions, on a clock that the tests advance.

    :param behave: Returns what a server of a version does with a request on a route at a time.
    :param heard: Whether the reports of routers arrive.
    """

    def __init__(
        self,
        behave: Callable[[str, str, float, random.Random], Outcome],
        *,
        routers: int = 10,
        rate_per_s: float = 150.0,
        heard: bool = True,
        seed: int = 1,
    ) -> None:
        self.now = 0.0
        self.rng = random.Random(seed)
        self.store = MemoryStore()
        self.behave, self.heard, self.rate_per_s = behave, heard, rate_per_s
        self.servers = {f"a{n}": "v1" for n in range(3)} | {f"b{n}": "v2" for n in range(3)}
        self.names = [f"r{number}" for number in range(routers)]
        self.routers = [SimulatedRouter(name, self) for name in self.names]
        self.requests = 0
        self.sent_new: list[float] = []
        """Times of requests that were sent to the new version."""
        self.bad_new: list[float] = []
        """Times of bad responses of the new version."""
        self.next_order_id = 1

    def order(self, *, to: str = "v2", duration_s: float = 60.0) -> RolloutOrder:
        """Order a rollout, and return the order."""
        order = RolloutOrder(SERVICE, to, duration_s, self.next_order_id)
        self.next_order_id += 1
        for router in self.routers:
            router.view.rollouts.apply_order(order, now=self.now)
        return order

    def withdraw(self) -> None:
        """Withdraw the order."""
        for router in self.routers:
            router.view.rollouts.withdraw(SERVICE)

    def restart(self, index: int, order: RolloutOrder) -> SimulatedRouter:
        """Replace a router by one that knows nothing but the order."""
        router = self.routers[index] = SimulatedRouter(self.names[index], self)
        router.view.rollouts.apply_order(order, now=self.now)
        return router

    @property
    def record(self) -> RolloutRecord | None:
        """Newest state in the store."""
        return self.store.records[-1].record if self.store.records else None

    async def run(self, seconds: float) -> None:
        """Let routers serve requests, report to each other and decide."""
        for _ in range(round(seconds / STEP_S)):
            self.now += STEP_S
            running = [router for router in self.routers if router.running]
            for router in running:
                for other in running:
                    router.view.renew_router(other.name, now=self.now)
            for _ in range(round(self.rate_per_s * STEP_S)):
                self._serve(self.rng.choice(running))
            self._exchange(running)
            for router in running:
                await router.controller.advance()

    def _serve(self, router: SimulatedRouter) -> None:
        req = cast("AdmittedRequest", _Request(self.rng.choice(ROUTES)))
        groups = router.gate.groups(req, router.view.servers.usable(SERVICE))
        states = next((group for group in groups if group), None)
        if states is None:
            return
        self.requests += 1
        state = self.rng.choice(states)
        version = state.entry.version
        router.gate.count_send(req, state)
        req.attempts.sends = 1
        router.gate.record_sent(req)
        outcome = self.behave(version, req.route.name, self.now, self.rng)
        if version == "v2":
            self.sent_new.append(self.now)
            if not outcome.ok or outcome.seconds > 2 * USUAL_S:
                self.bad_new.append(self.now)
        attempt = cast("Attempt", _Attempt(state, self.now - outcome.seconds, outcome.seconds))
        response = DeliveredResponse(200) if outcome.ok else ErrorResponse(500, [], b"")
        router.gate.record_outcome(req, attempt, response, now=self.now)

    def _exchange(self, running: list[SimulatedRouter]) -> None:
        for router in running:
            report = router.view.rollouts.make_report(now=self.now)
            others = [other for other in running if other is not router]
            if report is None or not self.heard:
                continue
            for other in self.rng.sample(others, min(RECIPIENTS, len(others))):
                other.view.rollouts.apply_report(report, now=self.now)
