"""Tests of waiting for a place: stop, memory, cancellation, and what is never held."""

from __future__ import annotations

import asyncio
from types import SimpleNamespace
from typing import Any

import pytest
from tests.router.gateway.builders import make_entry
from tests.router.gateway.builders import make_route

from cornellead.gateway.forwarding import ServerPicker
from cornellead.gateway.forwarding._place_waiter import MAX_HELD_BYTES
from cornellead.gateway.forwarding._place_waiter import QUEUE_RETENTION_S
from cornellead.gateway.forwarding._place_waiter import PlaceWaiter
from cornellead.gateway.forwarding._request_trace import RequestTrace
from cornellead.gateway.ingress import ServingPhase
from cornellead.gateway.ingress import ServingState
from cornellead.gateway.policy import ColdStartLimiter
from cornellead.gateway.policy import RequestAttempts
from cornellead.gateway.policy import ServerRateLimiter
from cornellead.gateway.stats import GatewayStats
from cornellead.gateway.view import FleetView
from cornellead.gateway.view import QueueReport
from cornellead.gateway.view._queue_reports import hash_service
from cornellead_core.metrics import Metrics
from cornellead_core.routing import ReportedLoad
from cornellead_core.routing import RequestKind
from cornellead_core.routing import RolloutOrder
from cornellead_core.routing import RouterLocation
from cornellead_core.routing import Service


class _Desk:
    """A router whose only server has no place, in wall-clock time."""

    def __init__(self) -> None:
        self.clock = asyncio.get_running_loop().time
        self.view = FleetView(router="r1")
        self.serving = ServingState()
        picker = ServerPicker(
            view=self.view,
            cold_limiter=ColdStartLimiter(router="r1", burst=5.0),
            rate_limiter=ServerRateLimiter(router="r1"),
            data_centre="dc-a",
            regions={"dc-a": "eu"},
            load_factor=2.0,
        )
        self.waiter = PlaceWaiter(
            view=self.view,
            serving=self.serving,
            picker=picker,
            stats=GatewayStats(metrics=Metrics()),
            clock=self.clock,
        )
        self.view.servers.put(make_entry("s1", slots=6), now=self.clock())
        (self.state,) = self.view.servers.listed("llm")
        self.state.health.record_latency(1.0)
        self.report(30)

    def report(self, load: int) -> None:
        """Apply a response of the server."""
        self.state.record_reported_load(ReportedLoad(load, 0, 6), now=self.clock())
        self.waiter.wake("llm")

    def hold(
        self,
        *,
        timeout_s: float = 4.0,
        body: bytes = b"",
        kv_tokens: int = 0,
        regions: frozenset[str] = frozenset(),
    ) -> asyncio.Task[float | None]:
        """Start a request."""
        now = self.clock()
        admitted = SimpleNamespace(
            req=SimpleNamespace(received_at=now, body=body),
            caller=SimpleNamespace(request_id="7f"),
            route=make_route("unsafe", RequestKind.UNSAFE),
            service=Service("llm", 100, 0.0, 0.0, 6, kv_tokens),
            team="a",
            urgency=1,
            regions=regions,
            affinity="",
            attempts=RequestAttempts(repeatable=False, max_attempts=1, deadline=now + timeout_s),
        )
        context: Any = SimpleNamespace(admitted=admitted, trace=RequestTrace("7f", started_at=now))
        return asyncio.get_running_loop().create_task(self.waiter.hold(context))


async def test_response_with_a_place_wakes_at_once() -> None:
    """Guards against a wait for the next check while a place is known to be free."""
    desk = _Desk()
    task = desk.hold()
    await asyncio.sleep(0.15)
    assert not task.done()
    assert desk.waiter.read_held() == {"llm": {1: 1}}
    desk.report(0)
    await asyncio.sleep(0)
    await asyncio.sleep(0)
    assert task.done()
    assert await task is None
    assert desk.waiter.held == 0


async def test_stop_ends_the_wait() -> None:
    """Guards against a stop that waits for requests which another router could serve."""
    desk = _Desk()
    task = desk.hold()
    await asyncio.sleep(0.01)
    desk.serving.advance(ServingPhase.REFUSING)
    assert await asyncio.wait_for(task, 1.0) is None


async def test_request_is_refused_while_its_caller_can_return() -> None:
    """Guards against a request that is held until its deadline."""
    desk = _Desk()
    started_at = desk.clock()
    wait_s = await asyncio.wait_for(desk.hold(timeout_s=0.4), 2.0)
    assert wait_s is not None
    assert wait_s > 0
    assert desk.clock() - started_at < 0.4


async def test_bodies_of_held_requests_are_bounded() -> None:
    """Guards against a process that runs out of memory because of waiting requests."""
    desk = _Desk()
    tasks = [desk.hold(body=bytes(MAX_HELD_BYTES // 4)) for _ in range(6)]
    await asyncio.sleep(0.05)
    assert sum(task.done() for task in tasks) == 2
    assert desk.waiter.held == 4
    for task in tasks:
        task.cancel()


async def test_caller_that_leaves_frees_its_turn() -> None:
    """Guards against places that are given to callers that have left."""
    desk = _Desk()
    task = desk.hold()
    await asyncio.sleep(0.01)
    task.cancel()
    with pytest.raises(asyncio.CancelledError):
        await task
    assert desk.waiter.held == 0
    assert desk.waiter.read_held() == {}


async def test_what_is_never_held() -> None:
    """Guards against holding for model servers, or without reports of other routers."""
    desk = _Desk()
    assert await asyncio.wait_for(desk.hold(kv_tokens=1000), 0.1) is None
    desk.view.apply_announcement("r2", RouterLocation("r2:1", "dc-a"), now=desk.clock())
    assert await asyncio.wait_for(desk.hold(), 0.1) is None


async def test_idle_servers_are_no_reason_to_refuse() -> None:
    """Guards against a broken router whose report makes others refuse while servers are idle."""
    desk = _Desk()
    desk.report(0)
    report = QueueReport("r2", {hash_service("llm"): {0: 2**31 - 1}})
    desk.waiter.reports.apply_report(report, now=desk.clock())
    task = desk.hold(timeout_s=0.4)
    await asyncio.sleep(0.1)
    assert not task.done()
    assert await asyncio.wait_for(task, 1.0) is None


async def test_server_without_slots_ends_the_wait() -> None:
    """Guards against requests that wait although a server that states no slots could run them."""
    desk = _Desk()
    task = desk.hold()
    await asyncio.sleep(0.05)
    assert not task.done()
    desk.view.servers.put(make_entry("s2", slots=0), now=desk.clock())
    other = desk.view.servers.get("s2")
    assert other is not None
    other.record_reported_load(ReportedLoad(5, 0, 0), now=desk.clock())
    assert await asyncio.wait_for(task, 0.5) is None


async def test_queues_that_are_no_longer_used_are_removed() -> None:
    """Guards against memory that grows with each service that was ever contended."""
    desk = _Desk()
    first = desk.hold(timeout_s=0.4)
    await first
    shift_s = QUEUE_RETENTION_S + 1
    desk.waiter._clock = lambda: desk.clock() + shift_s
    desk.state.record_reported_load(ReportedLoad(30, 0, 6), now=desk.clock() + shift_s)
    second = desk.hold(timeout_s=shift_s + 4.0, regions=frozenset({"eu"}))
    await asyncio.sleep(0)
    assert list(desk.waiter._queues) == [("llm", frozenset({"eu"}))]
    second.cancel()


async def test_places_at_an_unproved_version_are_not_counted() -> None:
    """Guards against requests that are not held since the servers of a version that may not get
    them are idle."""
    desk = _Desk()
    desk.view.servers.put(make_entry("s2", slots=6, version="v2"), now=desk.clock())
    desk.view.rollouts.apply_order(RolloutOrder("llm", "v2", 60.0, 1), now=desk.clock())
    new = desk.view.servers.get("s2")
    assert new is not None
    new.record_reported_load(ReportedLoad(0, 0, 6), now=desk.clock())
    task = desk.hold()
    await asyncio.sleep(0.1)
    assert not task.done()
    desk.report(0)
    assert await task is None
