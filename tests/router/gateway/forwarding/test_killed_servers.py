"""Servers that are killed while they answer without a length or chunks."""

from __future__ import annotations

import asyncio
import socket
import time
from typing import TYPE_CHECKING

import pytest
from structlog.testing import capture_logs
from tests.router.gateway.builders import make_entry
from tests.router.gateway.scripted_server import encode_events

from cornellead.gateway.ingress._response_output import ResponseOutput
from cornellead_core.routing import RolloutOrder
from cornellead_core.routing import RolloutPhase
from cornellead_core.routing import RolloutRecord

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    from tests.router.gateway.gateway_harness import Gateway
    from tests.router.gateway.scripted_server import Script
    from tests.router.gateway.scripted_server import ScriptedExchange
    from tests.router.gateway.scripted_server import ScriptedServer

    StartServer = Callable[[Script], Awaitable[ScriptedServer]]

BODY = b'{"seat": 7}'
LISTENER_DELAYS_S = (0.0, 0.015)
"""The kernel closes the listening socket of a killed process with its connections, or a moment
later if other processes run in between."""
PROMPT = "X-Prompt-Prefix: a1:80,b2:40,c3:5"


async def _start_killed(
    start_server: StartServer, sent: bytes, *, delay_s: float = 0.0
) -> ScriptedServer:
    """Start a server that is killed when it has sent these bytes of a body."""

    async def respond(exchange: ScriptedExchange) -> None:
        await exchange.begin_without_length()
        await exchange.send(sent)
        await asyncio.sleep(0.01)
        await server.end(listener_delay_s=delay_s)

    server = await start_server(respond)
    return server


async def _resume(exchange: ScriptedExchange) -> None:
    await exchange.resume_stream(4)


async def _respond(exchange: ScriptedExchange) -> None:
    await exchange.send(exchange.sealed_response(200, BODY))


@pytest.mark.parametrize("delay_s", LISTENER_DELAYS_S)
@pytest.mark.parametrize("events", [0, 1, 3])
async def test_stream_of_a_killed_server_does_not_look_complete(
    gateway: Gateway, start_server: StartServer, events: int, delay_s: float
) -> None:
    """Guards against a stream that ends early, framed as whole, when its server is killed."""
    sent = encode_events(1, events)
    gateway.configure(await _start_killed(start_server, sent, delay_s=delay_s))
    response = await gateway.call("/stream/1")
    if events:
        assert (response.status, response.body, response.complete) == (200, sent, False)
    else:
        assert response.status == 502


@pytest.mark.parametrize("delay_s", LISTENER_DELAYS_S)
@pytest.mark.parametrize("size", [0, 5, len(BODY)])
async def test_body_of_a_killed_server_is_not_passed_on(
    gateway: Gateway, start_server: StartServer, size: int, delay_s: float
) -> None:
    """Guards against an empty or half body with status 200 for a request that may run once."""
    gateway.configure(await _start_killed(start_server, BODY[:size], delay_s=delay_s))
    response = await gateway.call("/unsafe/1", body=b"pay")
    assert (response.status, response.body) == (502, b"")


@pytest.mark.parametrize("size", [0, 5])
async def test_safe_request_to_a_killed_server_is_served_elsewhere(
    gateway: Gateway, start_server: StartServer, size: int
) -> None:
    """Guards against an empty or half body for a request that another server could answer."""
    gateway.configure(await _start_killed(start_server, BODY[:size]))
    sound = await start_server(_respond)
    calls = [asyncio.create_task(gateway.call("/safe/1"))]
    await asyncio.sleep(0.005)
    gateway.view.servers.put(make_entry("s1", address=sound.address), now=time.monotonic())
    (response,) = [await call for call in calls]
    assert (response.status, response.body) == (200, BODY)


@pytest.mark.parametrize("events", [0, 2])
async def test_resumable_stream_of_a_killed_server_goes_on_elsewhere(
    gateway: Gateway, start_server: StartServer, events: int
) -> None:
    """Guards against a resumable stream that ends where its server was killed."""
    gateway.configure(await _start_killed(start_server, encode_events(1, events)))
    sound = await start_server(_resume)
    call = asyncio.create_task(gateway.call("/resumable/1"))
    await asyncio.sleep(0.005)
    gateway.view.servers.put(make_entry("s1", address=sound.address), now=time.monotonic())
    response = await call
    assert response.complete and response.body == encode_events(1, 4)


async def test_stream_whose_successor_is_killed_goes_on_elsewhere(
    gateway: Gateway, start_server: StartServer
) -> None:
    """Guards against a stream that ends where the server was killed that had resumed it."""

    async def fall_silent(exchange: ScriptedExchange) -> None:
        await exchange.begin_stream()
        await exchange.send_events(1, 1)
        await exchange.disconnected.wait()

    async def go_on(exchange: ScriptedExchange) -> None:
        gateway.view.servers.put(make_entry("s2", address=sound.address), now=time.monotonic())
        await exchange.begin_without_length()
        await exchange.send(encode_events(2, 2))
        await asyncio.sleep(0.1)
        await successor.end()

    first, successor = await start_server(fall_silent), await start_server(go_on)
    sound = await start_server(_resume)
    gateway.configure(first, max_attempts=4)
    call = asyncio.create_task(gateway.call("/resumable/1"))
    await asyncio.sleep(0.2)
    gateway.view.servers.put(make_entry("s1", address=successor.address), now=time.monotonic())
    response = await call
    assert response.complete and response.body == encode_events(1, 4)
    assert sound.received[0].header("last-event-id") == "2"


async def test_server_that_listens_again_before_a_slow_caller_has_read_does_not_look_complete(
    gateway: Gateway, start_server: StartServer, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against the judgement of a killed server by the one that was started in its place."""
    reads = asyncio.Event()
    write = ResponseOutput.write

    async def write_slowly(self: ResponseOutput, data: bytes) -> None:
        await write(self, data)
        await reads.wait()

    monkeypatch.setattr(ResponseOutput, "write", write_slowly)
    killed = await _start_killed(start_server, encode_events(1, 1))
    gateway.configure(killed)
    call = asyncio.create_task(gateway.call("/stream/1"))
    await asyncio.sleep(0.2)
    host, _, port = killed.address.rpartition(":")
    with socket.create_server((host, int(port))):
        reads.set()
        response = await call
    assert (response.body, response.complete) == (encode_events(1, 1), False)


async def test_server_that_is_killed_after_its_restart_does_not_look_complete(
    gateway: Gateway, start_server: StartServer
) -> None:
    """Guards against a killed server that counts as replaced, since the entry of its own start came
    while it answered."""

    async def respond(exchange: ScriptedExchange) -> None:
        await exchange.begin_without_length()
        await exchange.send(encode_events(1, 1))
        entry = make_entry("s0", address=server.address, started_ms=2)
        gateway.view.servers.put(entry, now=time.monotonic())
        await asyncio.sleep(0.01)
        await server.end()

    server = await start_server(respond)
    gateway.configure(server)
    response = await gateway.call("/stream/1")
    assert (response.body, response.complete) == (encode_events(1, 1), False)


async def test_killed_server_counts_as_failed(gateway: Gateway, start_server: StartServer) -> None:
    """Guards against good health and a cached prompt for a server that was killed."""
    gateway.configure(await _start_killed(start_server, encode_events(1, 1)))
    state = gateway.view.servers.listed("llm")[0]
    with capture_logs() as logs:
        await gateway.call("/stream/1", PROMPT)
        await asyncio.sleep(0.1)
    now = time.monotonic()
    assert state.health.success_rate(now=now) < 1.0
    assert gateway.view.prompts.holders("b2", now=now) == []
    assert not gateway.view.guard.was_answered("b2")
    line = next(entry for entry in logs if entry["event"] == "request")
    assert line["attempts"] == ["s0:server_ended"]
    assert any(entry["event"] == "server crashed" for entry in logs)


async def test_killed_server_of_a_new_version_counts_as_bad(
    gateway: Gateway, start_server: StartServer
) -> None:
    """Guards against a rollout that goes on although a server of the new version was killed."""
    killed = await _start_killed(start_server, BODY[:5])
    gateway.configure()
    now = time.monotonic()
    gateway.view.servers.put(make_entry("n", address=killed.address, version="v2"), now=now)
    gateway.view.rollouts.apply_order(RolloutOrder("llm", "v2", 60.0, 1), now=now)
    record = RolloutRecord(1, "v2", RolloutPhase.RUNNING, 1.0, 0.0, announced=True)
    gateway.view.rollouts.apply_record("llm", record, now=now)
    await gateway.call("/unsafe/1", body=b"pay")
    rollout = gateway.view.rollouts.get("llm")
    assert rollout is not None and rollout.own == {"unsafe": (1, 1, 0, 0)}


async def test_killed_server_that_was_leaving_does_not_look_complete(
    gateway: Gateway, start_server: StartServer
) -> None:
    """Guards against streams that end early, framed as whole, when a leaving server is killed in
    the middle of several answers."""

    async def respond(exchange: ScriptedExchange) -> None:
        if exchange.head.startswith(b"POST /unsafe"):
            await exchange.disconnected.wait()
            return
        await exchange.begin_without_length("Server-Leaving: 1")
        await exchange.send(encode_events(1, 1))
        await asyncio.sleep(0.05)
        await server.end()

    server = await start_server(respond)
    gateway.configure(server)
    unanswered = asyncio.create_task(gateway.call("/unsafe/1", body=b"pay"))
    await asyncio.sleep(0.05)
    response = await gateway.call("/stream/1")
    assert (response.body, response.complete) == (encode_events(1, 1), False)
    assert (await unanswered).status == 502
