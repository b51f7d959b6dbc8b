"""Whole responses without a length or chunks, which end with their connection."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

import pytest
from structlog.testing import capture_logs
from tests.router.gateway.builders import make_entry
from tests.router.gateway.gateway_harness import encode_request
from tests.router.gateway.scripted_server import encode_events

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    from tests.router.gateway.gateway_harness import Gateway
    from tests.router.gateway.scripted_server import Script
    from tests.router.gateway.scripted_server import ScriptedExchange
    from tests.router.gateway.scripted_server import ScriptedServer

    StartServer = Callable[[Script], Awaitable[ScriptedServer]]

BODY = b"whole body"
BODIES = {"/safe/1": BODY, "/unsafe/1": BODY, "/stream/1": encode_events(1, 3)}


async def _answer(exchange: ScriptedExchange, *headers: str) -> None:
    path = exchange.head.split(b" ")[1].decode()
    await exchange.begin_without_length(*headers)
    await exchange.send(BODIES[path])


@pytest.mark.parametrize("path", [*BODIES, "/resumable/1"])
async def test_empty_response_that_ends_with_its_connection_is_passed_on(
    gateway: Gateway, start_server: StartServer, path: str
) -> None:
    """Guards against an empty answer of a sound server that is taken for a cut one."""

    async def respond(exchange: ScriptedExchange) -> None:
        await exchange.begin_without_length()
        exchange.writer.close()

    server = await start_server(respond)
    gateway.configure(server)
    response = await gateway.call(path)
    assert (response.status, response.body, response.complete) == (200, b"", True)
    assert len(server.received) == 1


@pytest.mark.parametrize("path", BODIES)
async def test_responses_that_end_at_one_instant_are_passed_on(
    gateway: Gateway, start_server: StartServer, path: str
) -> None:
    """Guards against answers of a sound server that are cut since several end at once."""
    ready = asyncio.Event()

    async def respond(exchange: ScriptedExchange) -> None:
        await _answer(exchange)
        if len(server.received) == 8:
            ready.set()
        await ready.wait()
        exchange.writer.close()

    server = await start_server(respond)
    gateway.configure(server)
    responses = await asyncio.gather(*(gateway.call(path) for _ in range(8)))
    assert {(r.status, r.body, r.complete) for r in responses} == {(200, BODIES[path], True)}
    assert len(server.received) == 8


@pytest.mark.parametrize("path", BODIES)
@pytest.mark.parametrize("sign", ["header", "entry", "removed", "replaced"])
async def test_last_response_of_a_leaving_server_is_passed_on(
    gateway: Gateway, start_server: StartServer, sign: str, path: str
) -> None:
    """Guards against the last answer of a server that leaves, or is replaced, that is cut since
    nobody listens any more."""

    async def respond(exchange: ScriptedExchange) -> None:
        server.stop()
        await _answer(exchange, *(["Server-Leaving: 1"] if sign == "header" else []))
        now, servers = time.monotonic(), gateway.view.servers
        if sign == "entry":
            servers.put(make_entry("s0", address=server.address, draining=True), now=now)
        elif sign == "removed":
            servers.remove("s0", now=now)
        elif sign == "replaced":
            servers.put(make_entry("s0", address="127.0.0.1:9", started_ms=2), now=now)
        exchange.writer.close()

    server = await start_server(respond)
    gateway.configure(server)
    response = await gateway.call(path)
    assert (response.status, response.body, response.complete) == (200, BODIES[path], True)


@pytest.mark.parametrize("response", ["head", "204"])
async def test_response_without_a_body_is_whole_with_its_head(
    gateway: Gateway, start_server: StartServer, response: str
) -> None:
    """Guards against an answer that cannot have a body and is cut since its server has ended."""

    async def respond(exchange: ScriptedExchange) -> None:
        server.stop()
        status = "204 No Content" if response == "204" else "200 OK"
        lines = f"HTTP/1.1 {status}\r\nX-Request-Id: 7f01\r\nX-Response-Seal: seal\r\n\r\n"
        await exchange.send(lines.encode())
        exchange.writer.close()

    server = await start_server(respond)
    gateway.configure(server)
    reader, writer = await gateway.connect()
    request = encode_request("/safe/1")
    writer.write(request.replace(b"GET", b"HEAD", 1) if response == "head" else request)
    head = await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), 3.0)
    assert head.startswith(b"HTTP/1.1 204" if response == "204" else b"HTTP/1.1 200")
    writer.close()


async def test_resumed_stream_with_nothing_left_is_passed_on(
    gateway: Gateway, start_server: StartServer
) -> None:
    """Guards against a stream that never ends since its last server had no event left."""

    async def break_off(exchange: ScriptedExchange) -> None:
        await exchange.begin_stream()
        await exchange.send_events(1, 2)
        gateway.view.servers.put(make_entry("s1", address=rest.address), now=time.monotonic())
        exchange.reset()

    async def end(exchange: ScriptedExchange) -> None:
        await exchange.begin_without_length()
        exchange.writer.close()

    breaking, rest = await start_server(break_off), await start_server(end)
    gateway.configure(breaking)
    response = await gateway.call("/resumable/1")
    assert response.complete and response.body == encode_events(1, 2)
    assert rest.received[0].header("last-event-id") == "2"


async def test_response_of_a_server_with_too_many_connections_is_passed_on(
    gateway: Gateway, start_server: StartServer
) -> None:
    """Guards against an answer that is cut since its server closes further connections at once."""

    async def respond(exchange: ScriptedExchange) -> None:
        server.accepts = False
        await _answer(exchange)
        exchange.writer.close()

    server = await start_server(respond)
    gateway.configure(server)
    response = await gateway.call("/unsafe/1", body=b"pay")
    assert (response.status, response.body) == (200, BODY)


async def test_response_just_before_the_deadline_is_passed_on(
    gateway: Gateway, start_server: StartServer
) -> None:
    """Guards against a whole answer that is lost while the router finds out whether it is whole."""

    async def respond(exchange: ScriptedExchange) -> None:
        await asyncio.sleep(0.26)
        await _answer(exchange)
        exchange.writer.close()

    gateway.configure(await start_server(respond))
    response = await gateway.call("/unsafe/1", "X-Deadline-Ms: 300", body=b"pay")
    assert (response.status, response.body) == (200, BODY)


@pytest.mark.parametrize("leaving", [False, True])
async def test_request_line_tells_that_the_response_ended_with_its_connection(
    gateway: Gateway, start_server: StartServer, leaving: bool
) -> None:
    """Guards against logs that do not tell how the end of an answer was recognised."""

    async def respond(exchange: ScriptedExchange) -> None:
        if leaving:
            server.stop()
        await _answer(exchange, *(["Server-Leaving: 1"] if leaving else []))
        exchange.writer.close()

    server = await start_server(respond)
    gateway.configure(server)
    with capture_logs() as logs:
        await gateway.call("/unsafe/1", body=b"pay")
        await asyncio.sleep(0.05)
    line = next(entry for entry in logs if entry["event"] == "request")
    assert line["attempts"] == [f"s0:200_closed_{'unproven' if leaving else 'whole'}"]
    ends = [entry for entry in logs if entry["event"] == "response ended with its connection"]
    assert [(entry["listener"], entry["leaving"]) for entry in ends] == (
        [("closed", True)] if leaving else []
    )


async def test_connection_of_the_check_is_used_by_the_next_request(
    gateway: Gateway, start_server: StartServer
) -> None:
    """Guards against two new connections for each answer that ends with its connection."""

    async def respond(exchange: ScriptedExchange) -> None:
        await _answer(exchange)
        exchange.writer.close()

    gateway.configure(await start_server(respond))
    for _ in range(5):
        assert (await gateway.call("/unsafe/1", body=b"pay")).body == BODY
    assert gateway.pool.opened == 6
