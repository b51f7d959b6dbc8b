"""Responses without a length, and streams that end inside an event."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import pytest
from tests.router.gateway.gateway_harness import encode_request
from tests.router.gateway.gateway_harness import read_response
from tests.router.gateway.scripted_server import encode_event

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    from tests.router.gateway.gateway_harness import Gateway
    from tests.router.gateway.scripted_server import Script
    from tests.router.gateway.scripted_server import ScriptedExchange
    from tests.router.gateway.scripted_server import ScriptedServer

    StartServer = Callable[[Script], Awaitable[ScriptedServer]]


async def _begin_without_length(exchange: ScriptedExchange) -> None:
    lines = (
        "HTTP/1.1 200 OK",
        f"X-Request-Id: {exchange.request_id}",
        "X-Response-Seal: seal",
        "Connection: close",
    )
    await exchange.send("\r\n".join(lines).encode() + b"\r\n\r\n")


@pytest.mark.parametrize(("reset", "status"), [(False, 200), (True, 502)])
async def test_body_without_a_length_ends_with_its_connection(
    gateway: Gateway, start_server: StartServer, reset: bool, status: int
) -> None:
    """Guards against a lost body that has neither length nor chunks, and against one that was reset
    on the way and looks complete."""

    async def respond(exchange: ScriptedExchange) -> None:
        await _begin_without_length(exchange)
        await exchange.send(b"whole body")
        if reset:
            exchange.reset()
        else:
            exchange.writer.close()

    gateway.configure(await start_server(respond))
    response = await gateway.call("/unsafe/1", body=b"pay")
    assert response.status == status
    assert response.body == (b"" if reset else b"whole body")


@pytest.mark.parametrize("reset", [False, True])
async def test_stream_without_a_length_ends_with_its_connection(
    gateway: Gateway, start_server: StartServer, reset: bool
) -> None:
    """Guards against a stream without chunks that is cut, or that was reset and looks complete."""

    async def respond(exchange: ScriptedExchange) -> None:
        await _begin_without_length(exchange)
        await exchange.send(encode_event(1) + encode_event(2))
        if reset:
            exchange.reset()
        else:
            exchange.writer.close()

    gateway.configure(await start_server(respond))
    response = await gateway.call("/stream/1")
    assert response.complete is not reset
    if not reset:
        assert response.body == encode_event(1) + encode_event(2)


@pytest.mark.parametrize("chunked", [True, False])
async def test_stream_that_ends_inside_an_event_is_broken_off(
    gateway: Gateway, start_server: StartServer, chunked: bool
) -> None:
    """Guards against a caller that takes part of an event for the end of a complete stream."""

    async def respond(exchange: ScriptedExchange) -> None:
        part = encode_event(2)[:9]
        if chunked:
            await exchange.begin_stream()
            await exchange.send_events(1, 1)
            await exchange.send(b"%x\r\n%b\r\n" % (len(part), part))
            await exchange.end_stream()
        else:
            await _begin_without_length(exchange)
            await exchange.send(encode_event(1) + part)
            exchange.writer.close()

    gateway.configure(await start_server(respond))
    response = await gateway.call("/stream/1")
    assert not response.complete
    assert response.body in (b"", encode_event(1))


async def test_stream_that_ends_inside_an_event_is_resumed(
    gateway: Gateway, start_server: StartServer
) -> None:
    """Guards against a resumable stream that ends early because its server stopped in an event."""

    async def respond(exchange: ScriptedExchange) -> None:
        await exchange.begin_stream()
        if exchange.header("last-event-id") == "1":
            await exchange.send_events(2, 3)
        else:
            await exchange.send_events(1, 1)
            await exchange.send(b"6\r\nid: 2\n\r\n")
        await exchange.end_stream()

    gateway.configure(await start_server(respond), await start_server(respond))
    response = await gateway.call("/resumable/1")
    assert response.complete
    assert response.body == b"".join(encode_event(number) for number in (1, 2, 3))


@pytest.mark.parametrize("space", [" ", "\t", " \t "])
async def test_space_behind_the_request_id_changes_nothing(
    gateway: Gateway, start_server: StartServer, space: str
) -> None:
    """Guards against an answer that is taken for one to an earlier request."""

    async def respond(exchange: ScriptedExchange) -> None:
        exchange.request_id += space
        await exchange.send(exchange.sealed_response(200, b"whole body"))

    gateway.configure(await start_server(respond), timeout_s=1.0)
    response = await gateway.call("/unsafe/1", body=b"pay")
    assert (response.status, response.body) == (200, b"whole body")


async def test_answer_to_a_head_request_has_no_body(
    gateway: Gateway, start_server: StartServer
) -> None:
    """Guards against an answer that is lost while the router waits for a body that never comes."""

    async def respond(exchange: ScriptedExchange) -> None:
        response = exchange.sealed_response(200, b"whole body")
        await exchange.send(response.removesuffix(b"whole body"))

    gateway.configure(await start_server(respond), timeout_s=1.0)
    reader, writer = await gateway.connect()
    writer.write(encode_request("/safe/1").replace(b"GET", b"HEAD", 1))
    head = await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), 3.0)
    assert head.startswith(b"HTTP/1.1 200") and b"Content-Length: 10" in head
    writer.close()


@pytest.mark.parametrize("path", ["/safe/1", "/stream/1"])
async def test_connection_goes_on_behind_the_answer_to_a_head_request(
    gateway: Gateway, start_server: StartServer, path: str
) -> None:
    """Guards against bytes behind the answer to HEAD that the caller takes for the next answer."""

    async def respond(exchange: ScriptedExchange) -> None:
        response = exchange.sealed_response(200, b"whole body")
        asks_for_head = exchange.head.startswith(b"HEAD")
        await exchange.send(response.removesuffix(b"whole body") if asks_for_head else response)

    gateway.configure(await start_server(respond), timeout_s=1.0)
    reader, writer = await gateway.connect()
    first = encode_request(path, request_id="7f02").partition(b" ")[2]
    writer.write(b"HEAD " + first + encode_request("/safe/2", request_id="7f03"))
    assert (await reader.readuntil(b"\r\n\r\n")).startswith(b"HTTP/1.1 200")
    response = await read_response(reader)
    assert (response.status, response.body) == (200, b"whole body")
    writer.close()
