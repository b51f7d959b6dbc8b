"""Requests and answers that have arrived when a late timer acts, since the event loop was busy."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

from tests.router.gateway.builders import LIMITS
from tests.router.gateway.gateway_harness import encode_request
from tests.router.gateway.gateway_harness import read_response

from cornellead.gateway.ingress._caller_connection import IDLE_TIMEOUT_MARGIN_S

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    from tests.router.gateway.gateway_harness import Gateway
    from tests.router.gateway.scripted_server import Script
    from tests.router.gateway.scripted_server import ScriptedExchange
    from tests.router.gateway.scripted_server import ScriptedServer

    StartServer = Callable[[Script], Awaitable[ScriptedServer]]

BUSY_S = 0.4
MARGIN_S = 0.1
HEAD = b"POST /unsafe/2 HTTP/1.1\r\nHost: box.example\r\nX-Request-Id: 7f02\r\n"


async def _echo(exchange: ScriptedExchange) -> None:
    await exchange.send(exchange.sealed_response(200, exchange.body))


async def _send_before_late_timer(due_s: float, writer: asyncio.StreamWriter, data: bytes) -> None:
    """Let data arrive just before a timer acts that a busy loop has delayed, in the same turn.

    :param due_s: Seconds until the timer is due.
    """
    loop = asyncio.get_running_loop()
    loop.call_later(due_s - 2 * MARGIN_S, time.sleep, BUSY_S)
    loop.call_later(due_s - MARGIN_S, writer.write, data)
    await asyncio.sleep(due_s)


async def test_request_that_arrives_before_a_late_idle_close_is_answered(
    gateway: Gateway, start_server: StartServer
) -> None:
    """Guards against a whole request that gets neither an answer nor a refusal (issue 38)."""
    gateway.configure(await start_server(_echo))
    gateway.limits = LIMITS._replace(idle_timeout_s=0.5)
    reader, writer = await gateway.connect()
    writer.write(encode_request("/unsafe/1", body=b"a"))
    assert (await read_response(reader)).status == 200
    request = encode_request("/unsafe/2", body=b"b")
    await _send_before_late_timer(0.5 + IDLE_TIMEOUT_MARGIN_S, writer, request)
    response = await read_response(reader)
    assert (response.status, response.body) == (200, b"b")
    writer.close()


async def test_request_whose_head_arrives_before_a_late_timeout_is_not_answered_408(
    gateway: Gateway, start_server: StartServer
) -> None:
    """Guards against a time limit for slow callers that hits those of a busy process."""
    gateway.configure(await start_server(_echo))
    gateway.limits = LIMITS._replace(header_timeout_s=1.0)
    reader, writer = await gateway.connect()
    writer.write(HEAD)
    rest = b"X-Api-Key: key-1\r\nContent-Length: 0\r\n\r\n"
    await _send_before_late_timer(1.0, writer, rest)
    assert (await read_response(reader)).status == 200
    writer.close()


async def test_answer_that_arrives_before_the_deadline_is_delivered(
    gateway: Gateway, start_server: StartServer
) -> None:
    """Guards against answers that a server gave in time and that count as late."""

    async def answer_late(exchange: ScriptedExchange) -> None:
        await asyncio.sleep(0.3)
        await exchange.send(exchange.sealed_response(200, b"late"))
        time.sleep(BUSY_S)

    gateway.configure(await start_server(answer_late))
    response = await gateway.call("/unsafe/1", "X-Deadline-Ms: 400")
    assert (response.status, response.body) == (200, b"late")


async def test_longer_idle_timeout_holds_for_connections_that_are_open(
    gateway: Gateway, start_server: StartServer
) -> None:
    """Guards against a request that crosses a close which the limits in force rule out."""
    gateway.configure(await start_server(_echo))
    gateway.limits = LIMITS._replace(idle_timeout_s=0.2)
    reader, writer = await gateway.connect()
    writer.write(encode_request("/unsafe/1", body=b"a"))
    assert (await read_response(reader)).status == 200
    gateway.limits = LIMITS._replace(idle_timeout_s=5.0)
    await asyncio.sleep(0.2 + IDLE_TIMEOUT_MARGIN_S + 0.3)
    writer.write(encode_request("/unsafe/2", body=b"b"))
    response = await read_response(reader)
    assert (response.status, response.body) == (200, b"b")
    writer.close()
