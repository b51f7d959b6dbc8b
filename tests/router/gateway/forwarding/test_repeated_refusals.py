"""Servers that write an earlier response once more on a kept connection."""

from __future__ import annotations

import asyncio
from collections import Counter
from typing import TYPE_CHECKING

import pytest
from tests.router.gateway.gateway_harness import encode_request
from tests.router.gateway.gateway_harness import read_response

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    from tests.router.gateway.gateway_harness import CallerResponse
    from tests.router.gateway.gateway_harness import Gateway
    from tests.router.gateway.scripted_server import Script
    from tests.router.gateway.scripted_server import ScriptedExchange
    from tests.router.gateway.scripted_server import ScriptedServer

    StartServer = Callable[[Script], Awaitable[ScriptedServer]]

REFUSAL = b"HTTP/1.1 503 Full\r\nX-Not-Executed: 1\r\n%bContent-Length: 0\r\n\r\n"
WITHOUT_ID = REFUSAL % b""
MAX_REFUSALS = 33
"""Refusals on one connection, the one that closes it included."""


def _refusal(request_id: str) -> bytes:
    return REFUSAL % f"X-Request-Id: {request_id}\r\n".encode()


async def _send(gateway: Gateway, number: int, request_id: str) -> CallerResponse:
    reader, writer = await gateway.connect()
    writer.write(encode_request(f"/unsafe/{number}", request_id=request_id, body=b"pay"))
    response = await read_response(reader)
    writer.close()
    return response


@pytest.mark.parametrize("copy", [_refusal("a1"), WITHOUT_ID])
async def test_copy_of_a_refusal_does_not_answer_the_next_request(
    gateway: Gateway, start_server: StartServer, copy: bytes
) -> None:
    """Guards against a "not run" for a payment that a server ran, when the server writes the
    refusal of the previous request on the connection once more."""

    async def script(exchange: ScriptedExchange) -> None:
        if exchange.request_id == "a1":
            await exchange.send(_refusal("a1"))
            return
        await exchange.send(copy)
        await asyncio.sleep(0.02)
        await exchange.send(exchange.sealed_response(200, b"paid"))

    server = await start_server(script)
    gateway.configure(server)
    assert (await _send(gateway, 1, "a1")).status == 503
    response = await _send(gateway, 2, "b2")
    assert (response.status, response.body) == (200, b"paid")
    assert server.received[-1].writer in {seen.writer for seen in server.received[:-1]}


async def test_copy_of_a_refusal_does_not_answer_a_repeat_of_its_request(
    gateway: Gateway, start_server: StartServer
) -> None:
    """Guards against a "not run" for a payment that ran when it is sent to the same server again: a
    copy of the first refusal and the answer to the repeat have the same id."""
    refused_on: list[asyncio.StreamWriter] = []

    async def script(exchange: ScriptedExchange) -> None:
        if not refused_on:
            refused_on.append(exchange.writer)
            await exchange.send(_refusal("a1"))
            return
        if exchange.writer in refused_on:
            await exchange.send(_refusal("a1"))
        await exchange.send(exchange.sealed_response(200, b"paid"))

    server = await start_server(script)
    gateway.configure(server)
    response = await _send(gateway, 1, "a1")
    assert (response.status, response.body) == (200, b"paid")
    assert len({seen.writer for seen in server.received}) == 2


async def test_refusal_without_an_id_is_believed_on_a_new_connection(
    gateway: Gateway, start_server: StartServer
) -> None:
    """Guards against a caller that is told "unknown" although the server has refused: the first
    response on a connection can only belong to its only request."""

    async def script(exchange: ScriptedExchange) -> None:
        await exchange.send(WITHOUT_ID)
        exchange.writer.close()

    gateway.configure(await start_server(script))
    assert (await _send(gateway, 1, "a1")).status == 503


async def test_connection_with_many_refusals_is_replaced(
    gateway: Gateway, start_server: StartServer
) -> None:
    """Guards against memory that grows with the refusals on a connection."""

    async def script(exchange: ScriptedExchange) -> None:
        await exchange.send(_refusal(exchange.request_id))

    server = await start_server(script)
    gateway.configure(server)
    for number in range(40):
        assert (await _send(gateway, number, f"id{number}")).status == 503
    refusals = Counter(seen.writer for seen in server.received)
    assert len(server.received) >= 40 and max(refusals.values()) <= MAX_REFUSALS
