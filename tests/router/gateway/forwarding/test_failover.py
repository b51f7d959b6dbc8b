"""Moves of requests from silent servers to others: which server takes one and what that costs."""

from __future__ import annotations

import asyncio
import socket
import struct
import time
from typing import TYPE_CHECKING
from typing import Any

import pytest
import structlog
from returns.result import Failure
from tests.router.gateway.builders import make_entry
from tests.router.gateway.builders import make_state
from tests.router.gateway.gateway_harness import encode_request
from tests.router.gateway.gateway_harness import read_response

from cornellead.gateway.forwarding import ServerPicker
from cornellead.gateway.forwarding._attempt import Attempt
from cornellead.gateway.forwarding._failover import Failover
from cornellead.upstream import ConnectError
from cornellead.upstream import Exchange
from cornellead.upstream import ResponseHead
from cornellead_core.routing import ReportedLoad
from cornellead_core.routing import RoutingConfig

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    from tests.router.gateway.gateway_harness import CallerResponse
    from tests.router.gateway.gateway_harness import Gateway
    from tests.router.gateway.scripted_server import Script
    from tests.router.gateway.scripted_server import ScriptedExchange
    from tests.router.gateway.scripted_server import ScriptedServer

    from cornellead.gateway.forwarding import AdmittedRequest
    from cornellead.gateway.view import ServerState

    StartServer = Callable[[Script], Awaitable[ScriptedServer]]

DEADLINE_MS = 8000
LATER_S = 0.1
"""Time after which a further server is listed, so that the first one has the request."""


async def _call(gateway: Gateway, path: str, number: int = 0) -> CallerResponse:
    reader, writer = await gateway.connect()
    writer.write(
        encode_request(path, f"X-Deadline-Ms: {DEADLINE_MS}", request_id=f"7f{number:02d}")
    )
    response = await read_response(reader)
    writer.close()
    return response


async def _answer(exchange: ScriptedExchange, path: str) -> None:
    if path.startswith("/safe"):
        await exchange.send(exchange.sealed_response(200, b"body"))
    else:
        await exchange.resume_stream(3)


async def _stay_silent(exchange: ScriptedExchange) -> None:
    await exchange.disconnected.wait()


def _list(gateway: Gateway, server: ScriptedServer, **changes: object) -> None:
    entry = make_entry("s1", address=server.address, **changes)
    gateway.view.servers.put(entry, now=time.monotonic())


@pytest.mark.parametrize("path", ["/safe/1", "/resumable/1"])
async def test_server_that_was_full_once_takes_the_request_of_a_dead_one(
    gateway: Gateway, start_server: StartServer, monkeypatch: pytest.MonkeyPatch, path: str
) -> None:
    """Guards against a request that stays with a dead server because the sound one refused it
    before."""

    async def script(exchange: ScriptedExchange) -> None:
        if len(once_full.received) == 1:
            await exchange.send(exchange.response(503, "X-Not-Executed: 1"))
        else:
            await _answer(exchange, path)

    once_full, dead = await start_server(script), await start_server(_stay_silent)
    gateway.configure(once_full)
    send = gateway.sender.send

    async def list_dead_and_send(*args: object, **kwargs: object) -> object:
        _list(gateway, dead)
        return await send(*args, **kwargs)  # type: ignore[arg-type]

    monkeypatch.setattr(gateway.sender, "send", list_dead_and_send)
    response = await _call(gateway, path)
    assert (response.status, response.complete) == (200, True)
    assert len(dead.received) == 1 and len(once_full.received) == 2


@pytest.mark.parametrize("path", ["/safe/1", "/resumable/1"])
async def test_server_that_refused_one_connection_takes_the_request_of_a_dead_one(
    gateway: Gateway, start_server: StartServer, monkeypatch: pytest.MonkeyPatch, path: str
) -> None:
    """Guards against a request that stays with a dead server because one connection to the sound
    one could not be opened."""

    async def script(exchange: ScriptedExchange) -> None:
        await _answer(exchange, path)

    dead, sound = await start_server(_stay_silent), await start_server(script)
    gateway.configure(dead)
    open_connection = gateway.pool._open
    refused: list[str] = []

    async def refuse_once(address: str) -> object:
        if address == sound.address and not refused:
            refused.append(address)
            return Failure(ConnectError("refused"))
        return await open_connection(address)

    monkeypatch.setattr(gateway.pool, "_open", refuse_once)
    call = asyncio.create_task(_call(gateway, path))
    await asyncio.sleep(LATER_S)
    _list(gateway, sound)
    response = await call
    assert refused
    assert (response.status, response.complete) == (200, True)


async def test_request_is_kept_and_pays_nothing_if_the_successor_is_gone(
    gateway: Gateway, start_server: StartServer, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a request that leaves its server, and pays a retry, for one that is gone."""

    async def script(exchange: ScriptedExchange) -> None:
        await asyncio.sleep(1.2)
        await _answer(exchange, "/safe/1")

    silent, gone = await start_server(script), await start_server(script)
    gateway.configure(silent)
    budgets = gateway.retries
    spend, has_room, send = budgets.try_spend, budgets.has_room, gateway.sender.send
    spent: list[str] = []

    def record(service: str, **kwargs: Any) -> bool:
        spent.append(service)
        return spend(service, **kwargs)

    async def send_unless_gone(admitted: Any, state: ServerState, **kwargs: Any) -> object:
        if state.entry.server != "s1":
            return await send(admitted, state, **kwargs)
        state.health.record_connect_failure(now=time.monotonic())
        return None

    monkeypatch.setattr(budgets, "try_spend", record)
    monkeypatch.setattr(budgets, "has_room", lambda *a, **k: not spent and has_room(*a, **k))
    monkeypatch.setattr(gateway.sender, "send", send_unless_gone)
    call = asyncio.create_task(_call(gateway, "/safe/1"))
    await asyncio.sleep(LATER_S)
    _list(gateway, gone)
    response = await call
    assert (response.status, len(spent), len(silent.received)) == (200, 0, 1)


@pytest.mark.parametrize("path", ["/safe/1", "/resumable/1"])
async def test_moves_that_use_the_last_attempt_are_paid(
    gateway: Gateway, start_server: StartServer, path: str
) -> None:
    """Guards against moves beyond the retry budget on routes with two attempts (BUDGET)."""
    silent, other = await start_server(_stay_silent), await start_server(_stay_silent)
    gateway.configure(silent)
    calls = [asyncio.create_task(_call(gateway, path, number)) for number in range(40)]
    while len(silent.received) < len(calls):
        await asyncio.sleep(0.01)
    _list(gateway, other)
    await asyncio.sleep(1.8)
    for call in calls:
        call.cancel()
    spent = gateway.retries._budgets["llm"].spent
    assert 0 < len(other.received) == spent < len(calls)


async def test_connection_of_a_move_is_not_taken_by_another_request(
    gateway: Gateway, start_server: StartServer
) -> None:
    """Guards against a successor that is gone because another request took its connection."""

    async def script(exchange: ScriptedExchange) -> None:
        await _answer(exchange, "/safe/1")

    server = await start_server(script)
    reserved = (await gateway.pool.reserve(server.address)).unwrap()
    gateway.configure(server)
    assert (await _call(gateway, "/safe/1")).status == 200
    assert gateway.pool.opened == 2 and not reserved.closed


@pytest.fixture
def counted(monkeypatch: pytest.MonkeyPatch) -> list[str]:
    """Return the servers whose rate limits a send was counted against, filled as that happens."""
    servers: list[str] = []
    count_send = ServerPicker.count_send

    def record(
        picker: ServerPicker, admitted: AdmittedRequest, state: ServerState, *, now: float
    ) -> None:
        servers.append(state.entry.server)
        count_send(picker, admitted, state, now=now)

    monkeypatch.setattr(ServerPicker, "count_send", record)
    return servers


async def test_search_counts_no_send_at_the_silent_server(
    gateway: Gateway, start_server: StartServer, counted: list[str]
) -> None:
    """Guards against a rate limit that is used up by a search whose other servers are in regions
    that the route does not allow."""

    async def script(exchange: ScriptedExchange) -> None:
        await asyncio.sleep(1.5)
        await _answer(exchange, "/safe/1")

    silent, elsewhere = await start_server(script), await start_server(script)
    gateway.configure(silent, cold_rate_per_s=5.0, cold_s=60.0)
    gateway.picker._regions = {"dc-a": "r1", "dc-b": "r2"}
    _list(gateway, elsewhere, data_centre="dc-b")
    config = gateway.view.config
    assert config is not None
    routes = tuple(route._replace(regions=frozenset({"r1"})) for route in config.data.routes)
    gateway.view.activate_config(RoutingConfig(data=config.data._replace(version=2, routes=routes)))
    response = await _call(gateway, "/safe/1")
    assert (response.status, len(elsewhere.received)) == (200, 0)
    assert counted == ["s0"]


async def test_search_counts_no_send_at_a_cold_server_that_refuses_connections(
    gateway: Gateway, start_server: StartServer, counted: list[str]
) -> None:
    """Guards against a cold server whose rate is used up by connections that it refused."""

    async def script(exchange: ScriptedExchange) -> None:
        await asyncio.sleep(1.4)
        await _answer(exchange, "/safe/1")

    silent, unreachable = await start_server(script), await start_server(script)
    gateway.configure(silent, cold_rate_per_s=5.0)
    calls = [asyncio.create_task(_call(gateway, "/safe/1", number)) for number in range(10)]
    await asyncio.sleep(LATER_S)
    _list(gateway, unreachable, cold_s=60.0)
    unreachable.stop()
    responses = await asyncio.gather(*calls)
    assert [response.status for response in responses] == [200] * 10
    assert counted == ["s0"] * 10


async def test_attempt_is_kept_when_its_head_has_arrived_unread() -> None:
    """Guards against an answer that is dropped because it began while its server was given up."""
    loop = asyncio.get_running_loop()
    exchange = Exchange(loop=loop, abort=lambda: None, resume_reading=lambda: None)
    attempt = Attempt(
        state=make_state("s1"),
        exchange=exchange,
        now=0.0,
        first_byte_timeout_s=0.4,
        can_fail_over=True,
    )
    exchange.receive_head(ResponseHead(200, {}))
    assert not attempt.give_up(now=0.5)
    assert not exchange.broken
    await exchange.head()
    assert attempt.give_up(now=0.5)


@pytest.mark.parametrize("path", ["/safe/1", "/resumable/1"])
async def test_request_is_kept_if_the_other_server_resets_connections(
    gateway: Gateway, start_server: StartServer, path: str
) -> None:
    """Guards against a 502 for a request that left its silent server for one that accepts
    connections above its limit and resets them."""

    async def script(exchange: ScriptedExchange) -> None:
        await asyncio.sleep(1.6)
        await _answer(exchange, path)

    async def reset(_: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        sock = writer.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        writer.transport.abort()

    silent = await start_server(script)
    resetting = await asyncio.start_server(reset, "127.0.0.1", 0)
    gateway.configure(silent)
    call = asyncio.create_task(_call(gateway, path))
    await asyncio.sleep(LATER_S)
    port = resetting.sockets[0].getsockname()[1]
    entry = make_entry("s1", address=f"127.0.0.1:{port}")
    gateway.view.servers.put(entry, now=time.monotonic())
    response = await call
    resetting.close()
    assert (response.status, response.complete) == (200, True)
    assert len(silent.received) == 1


async def test_request_is_kept_if_the_other_server_reports_that_it_is_full(
    gateway: Gateway, start_server: StartServer
) -> None:
    """Guards against a request that leaves its silent server for one that will refuse it."""

    async def answer_late(exchange: ScriptedExchange) -> None:
        await asyncio.sleep(0.9)
        await _answer(exchange, "/safe/1")

    async def refuse(exchange: ScriptedExchange) -> None:
        await exchange.send(exchange.response(503, "X-Not-Executed: 1"))

    silent, full = await start_server(answer_late), await start_server(refuse)
    gateway.configure(silent)
    call = asyncio.create_task(_call(gateway, "/safe/1"))
    await asyncio.sleep(LATER_S)
    _list(gateway, full)
    state = gateway.view.servers.listed("llm")[1]
    assert state.entry.server == "s1"
    state.record_reported_load(
        ReportedLoad(state.entry.slots, 0, state.entry.slots), now=time.monotonic()
    )
    response = await call
    assert (response.status, len(silent.received), len(full.received)) == (200, 1, 0)


async def test_full_server_takes_the_request_of_a_dead_one(
    gateway: Gateway, start_server: StartServer
) -> None:
    """Guards against requests that stay with a dead server for as long as all others are busy."""

    async def script(exchange: ScriptedExchange) -> None:
        await _answer(exchange, "/resumable/1")

    dead, full = await start_server(_stay_silent), await start_server(script)
    gateway.configure(dead)
    call = asyncio.create_task(_call(gateway, "/resumable/1"))
    await asyncio.sleep(LATER_S)
    _list(gateway, full)
    state = gateway.view.servers.listed("llm")[1]
    while not call.done():
        load = ReportedLoad(state.entry.slots, 0, state.entry.slots)
        state.record_reported_load(load, now=time.monotonic())
        await asyncio.sleep(0.05)
    response = await call
    assert (response.status, response.complete, len(full.received)) == (200, True, 1)


async def test_failed_search_is_logged_once_and_its_request_is_kept(
    gateway: Gateway, start_server: StartServer, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against an error in the search that nobody sees and that returns at every check."""

    async def script(exchange: ScriptedExchange) -> None:
        await asyncio.sleep(1.0)
        await _answer(exchange, "/safe/1")

    def fail(*args: object, **kwargs: object) -> None:
        raise RuntimeError("defect")

    server = await start_server(script)
    gateway.configure(server)
    monkeypatch.setattr(Failover, "_pick", fail)
    with structlog.testing.capture_logs() as logs:
        response = await _call(gateway, "/safe/1")
    assert response.status == 200
    errors = [line for line in logs if line["event"] == "search for a successor failed"]
    assert [(line["request"], line["server"], line["log_level"]) for line in errors] == [
        ("7f00", "s0", "error")
    ]


async def test_connection_of_a_cancelled_search_goes_to_other_requests(
    gateway: Gateway, start_server: StartServer
) -> None:
    """Guards against connections that stay open without an owner."""

    async def script(exchange: ScriptedExchange) -> None:
        await _answer(exchange, "/safe/1")

    server = await start_server(script)
    gateway.configure(server)
    search = asyncio.create_task(gateway.sender.open_connection(make_state(address=server.address)))
    while not gateway.pool.opened:
        await asyncio.sleep(0)
    search.cancel()
    with pytest.raises(asyncio.CancelledError):
        await search
    assert (await _call(gateway, "/safe/1")).status == 200
    assert (gateway.pool.opened, gateway.pool.reused) == (1, 1)
