"""Requests in flight while operators and servers change what the router knows."""

from __future__ import annotations

import asyncio
import random
import time
from collections import Counter
from typing import TYPE_CHECKING
from typing import Any

import pytest
from tests.router.gateway.builders import LIMITS
from tests.router.gateway.builders import make_config
from tests.router.gateway.builders import make_entry
from tests.router.gateway.gateway_harness import encode_request
from tests.router.gateway.gateway_harness import read_response
from tests.router.gateway.scripted_server import encode_events

from cornellead_core.routing import RoutingConfig
from cornellead_core.routing import WeightedService

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    from tests.router.gateway.gateway_harness import CallerResponse
    from tests.router.gateway.gateway_harness import Gateway
    from tests.router.gateway.scripted_server import Script
    from tests.router.gateway.scripted_server import ScriptedExchange
    from tests.router.gateway.scripted_server import ScriptedServer

    from cornellead.gateway.view import ServerState

    StartServer = Callable[[Script], Awaitable[ScriptedServer]]

PATHS = ("/safe/1", "/unsafe/1", "/stream/1", "/resumable/1")
REQUESTS = 60
SPAN_S = 2.5
LAST_EVENT = 8
TIMEOUTS_S = (1.0, 2.0, 3.0)
"""Time limits of routes, at which a begun stream ends visibly; 2.0 is that of the first version."""
ANSWER_DELAY_S = 0.5
"""Time after a time limit within which the request has to end."""
NOT_RUN = (408, 421, 429, 503)


class Fleet:
    """Three servers whose requests take a while, and changes around them."""

    def __init__(self, gateway: Gateway, rng: random.Random) -> None:
        self.gateway = gateway
        self.rng = rng
        self.servers: list[ScriptedServer] = []
        self.version = 1
        self.started_ms = 1
        self.runs: Counter[str] = Counter()
        """Number of runs of each request; refusals are not counted."""

    async def respond(self, exchange: ScriptedExchange) -> None:
        """Refuse some requests, and answer the others slowly and at times with a short silence."""
        if self.rng.random() < 0.1:
            await exchange.send(exchange.response(503, "X-Not-Executed: 1"))
            return
        self.runs[exchange.request_id] += 1
        if b"POST /stream" not in exchange.head and b"POST /resumable" not in exchange.head:
            await asyncio.sleep(self.rng.uniform(0.0, 0.3))
            await exchange.send(exchange.sealed_response(200, exchange.request_id.encode()))
            return
        await exchange.begin_stream()
        first = int(exchange.header("last-event-id") or "0") + 1
        silent_after = self.rng.randint(1, 4 * LAST_EVENT)
        for number in range(first, LAST_EVENT + 1):
            await exchange.send_events(number, number)
            await asyncio.sleep(1.6 if number == silent_after else self.rng.uniform(0.0, 0.08))
        await exchange.end_stream()

    def change(self) -> str:
        """Make a random change and return its name."""
        change = self.rng.choice(
            (
                self._drop_route,
                self._move_route,
                self._change_timeout,
                self._change_key,
                self._change_limits,
                self._drop_service,
                self._restore,
                self._remove_server,
                self._restart_server,
                self._take_address,
                self._toggle_data_centre,
                self._toggle_store,
            )
        )
        change()
        return change.__name__

    def recover(self) -> None:
        """Undo the changes."""
        self._restore()
        self.gateway.limits = LIMITS
        self.gateway.view.servers.set_out_of_service("dc-a", out=False, now=time.monotonic())
        for number in range(len(self.servers)):
            self.started_ms += 1
            self._put(f"s{number}", number)

    def _activate(self, **changes: Any) -> None:
        self.version += 1
        data = make_config(cold_rate_per_s=20.0).data._replace(version=self.version, **changes)
        self.gateway.view.activate_config(RoutingConfig(data=data))
        self.gateway.view.confirmed_at = time.monotonic()

    def _drop_route(self) -> None:
        routes = make_config().data.routes
        dropped = self.rng.choice(routes)
        self._activate(routes=tuple(route for route in routes if route is not dropped))

    def _move_route(self) -> None:
        weighted = (WeightedService("llm", 1.0), WeightedService("other", self.rng.random()))
        routes = tuple(
            route._replace(services=weighted) if self.rng.random() < 0.5 else route
            for route in make_config().data.routes
        )
        services = make_config().data.services
        self._activate(routes=routes, services=(*services, services[0]._replace(name="other")))

    def _change_timeout(self) -> None:
        routes = tuple(
            route._replace(timeout_s=self.rng.choice(TIMEOUTS_S))
            for route in make_config().data.routes
        )
        self._activate(routes=routes)

    def _change_key(self) -> None:
        self._activate(teams=())

    def _change_limits(self) -> None:
        self.gateway.limits = LIMITS._replace(
            header_bytes=self.rng.choice((600, 2048)),
            body_bytes=self.rng.choice((0, 4096)),
            idle_timeout_s=self.rng.choice((0.05, 0.5)),
            header_timeout_s=self.rng.choice((0.1, 0.3)),
        )

    def _drop_service(self) -> None:
        self._activate(services=())

    def _restore(self) -> None:
        self._activate()

    def _remove_server(self) -> None:
        self._end(self.gateway.view.servers.remove(self._name(), now=time.monotonic()))

    def _restart_server(self) -> None:
        self.started_ms += 1
        number = self.rng.randrange(len(self.servers))
        self._put(f"s{number}", number, cold_s=self.rng.choice((0.0, 3.0)))

    def _take_address(self) -> None:
        self.started_ms += 1
        self._put(f"t{self.started_ms}", self.rng.randrange(len(self.servers)))

    def _put(self, name: str, number: int, **changes: Any) -> None:
        entry = make_entry(
            name, address=self.servers[number].address, started_ms=self.started_ms, **changes
        )
        for state in self.gateway.view.servers.put(entry, now=time.monotonic()):
            self._end(state)

    def _toggle_data_centre(self) -> None:
        servers = self.gateway.view.servers
        out = "dc-a" not in servers.data_centres_out_of_service
        servers.set_out_of_service("dc-a", out=out, now=time.monotonic())

    def _toggle_store(self) -> None:
        if self.rng.random() < 0.5:
            self.gateway.view.servers.mark_store_unavailable()
        else:
            self.gateway.view.servers.mark_store_available(now=time.monotonic())

    def _name(self) -> str:
        return f"s{self.rng.randrange(len(self.servers))}"

    def _end(self, state: ServerState | None) -> None:
        if state is not None:
            self.gateway.pool.discard(state.entry.address)


async def _call(gateway: Gateway, path: str, request_id: str) -> tuple[CallerResponse, float]:
    """Return the response, and the seconds until it was complete or broken off."""
    started_at = time.monotonic()
    reader, writer = await gateway.connect()
    writer.write(encode_request(path, "X-Deadline-Ms: 6000", request_id=request_id))
    response = await asyncio.wait_for(read_response(reader), 8.0)
    elapsed_s = time.monotonic() - started_at
    writer.close()
    return response, elapsed_s


def _find_fault(
    path: str, request_id: str, response: CallerResponse, elapsed_s: float, runs: int
) -> str:
    streamed = path in ("/stream/1", "/resumable/1")
    if response.status == 0:
        return "no answer"
    if response.status in NOT_RUN and runs and path in ("/unsafe/1", "/stream/1"):
        return "told as not run, but ran"
    if runs > 1 and path in ("/unsafe/1", "/stream/1"):
        return "ran twice"
    if not response.complete:
        timed_out = any(limit <= elapsed_s < limit + ANSWER_DELAY_S for limit in TIMEOUTS_S)
        return "" if timed_out else f"cut off after {elapsed_s:.2f} s"
    whole = encode_events(1, LAST_EVENT) if streamed else request_id.encode()
    if response.status == 200 and response.body != whole:
        return "wrong body"
    return ""


@pytest.mark.parametrize("seed", range(6))
async def test_changes_end_no_request_without_its_answer(
    gateway: Gateway, start_server: StartServer, seed: int
) -> None:
    """Guards against requests in flight that get no answer, half of one, two runs or a false "not
    run" because a configuration, server entry or data centre changes."""
    rng = random.Random(seed)
    fleet = Fleet(gateway, rng)
    fleet.servers = [await start_server(fleet.respond) for _ in range(3)]
    gateway.configure(*fleet.servers)
    changes = []
    calls: list[tuple[str, str, asyncio.Task[tuple[CallerResponse, float]]]] = []
    for number in range(REQUESTS):
        path, request_id = rng.choice(PATHS), f"7f{number:04d}"
        calls.append((path, request_id, asyncio.create_task(_call(gateway, path, request_id))))
        await asyncio.sleep(SPAN_S / REQUESTS)
        changes.append(fleet.change() if rng.random() < 0.4 else "")
        if rng.random() < 0.3:
            fleet._restore()
            fleet.gateway.limits = LIMITS
        if number % (REQUESTS // 4) == 0:
            fleet.recover()
    faults, served = [], 0
    for path, request_id, call in calls:
        response, elapsed_s = await call
        served += response.status == 200
        fault = _find_fault(path, request_id, response, elapsed_s, fleet.runs[request_id])
        if fault:
            faults.append((path, request_id, fault))
    assert faults == [], changes
    assert served > REQUESTS / 6
