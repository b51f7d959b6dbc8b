"""Streams that break off and are resumed by a server that answers with something else."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import pytest
from tests.router.gateway.scripted_server import encode_chunk
from tests.router.gateway.scripted_server import encode_event
from tests.router.gateway.scripted_server import encode_events

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    from tests.router.gateway.gateway_harness import Gateway
    from tests.router.gateway.scripted_server import Script
    from tests.router.gateway.scripted_server import ScriptedExchange
    from tests.router.gateway.scripted_server import ScriptedServer

    StartServer = Callable[[Script], Awaitable[ScriptedServer]]

ERROR_TEXT = b'{"error": {"message": "out of memory"}}'
ERROR_EVENT = b"event: error\ndata: out of memory\n\n"


def _json_answer(exchange: ScriptedExchange) -> bytes:
    return exchange.sealed_response(200, ERROR_TEXT, "Content-Type: application/json")


def _typeless_answer(exchange: ScriptedExchange) -> bytes:
    return exchange.sealed_response(200, ERROR_TEXT + b"\n\n")


def _error_event(exchange: ScriptedExchange) -> bytes:
    return exchange.sealed_response(200, ERROR_EVENT, "Content-Type: text/event-stream")


def _head_in_body(exchange: ScriptedExchange) -> bytes:
    nested = exchange.sealed_response(500, ERROR_TEXT).replace(b"\r\n", b"\n")
    return exchange.sealed_response(200, nested + b"\n\n", "Content-Type: text/event-stream")


def _failure(exchange: ScriptedExchange) -> bytes:
    return exchange.sealed_response(500, ERROR_TEXT, "Content-Type: application/json")


def _nothing(exchange: ScriptedExchange) -> bytes:
    return exchange.sealed_response(200, b"", "Content-Type: application/json")


ANSWERS = [_json_answer, _typeless_answer, _error_event, _head_in_body, _failure, _nothing]


@pytest.mark.parametrize("answer", ANSWERS)
@pytest.mark.parametrize("sound_server", [False, True])
async def test_stream_does_not_go_on_with_an_error(
    gateway: Gateway,
    start_server: StartServer,
    answer: Callable[[ScriptedExchange], bytes],
    sound_server: bool,
) -> None:
    """Guards against an error's text in the middle of a stream, and against a stream that ends as
    complete, when the server that resumes it answers with something else than its events."""
    attempts = []

    async def script(exchange: ScriptedExchange) -> None:
        attempts.append(exchange)
        if len(attempts) == 1:
            await exchange.begin_stream()
            await exchange.send_events(1, 2)
            await asyncio.sleep(0.05)
            exchange.reset()
        elif len(attempts) == 3 and sound_server:
            await exchange.resume_stream(4)
        else:
            await exchange.send(answer(exchange))

    gateway.configure(*[await start_server(script) for _ in range(3)], max_attempts=3)
    response = await gateway.call("/resumable/1", body=b"prompt")
    assert response.status == 200
    resumed = sound_server and answer is not _failure
    if resumed:
        assert response.complete and response.body == encode_events(1, 4)
    else:
        assert not response.complete or response.body == encode_events(1, 4)
        assert encode_events(1, 4).startswith(response.body)


async def test_events_before_a_comment_are_not_sent_again(
    gateway: Gateway, start_server: StartServer
) -> None:
    """Guards against an event that reaches the caller twice because a comment followed it in the
    same read, so that the stream was resumed before it."""

    async def script(exchange: ScriptedExchange) -> None:
        if exchange.header("last-event-id"):
            await exchange.resume_stream(4)
            return
        await exchange.begin_stream()
        await exchange.send_events(1, 1)
        await asyncio.sleep(0.05)
        await exchange.send_chunk(encode_event(2) + b": keep-alive\n\n")
        await asyncio.sleep(0.05)
        exchange.reset()

    gateway.configure(*[await start_server(script) for _ in range(2)])
    response = await gateway.call("/resumable/1", body=b"prompt")
    assert response.complete
    assert response.body.replace(b": keep-alive\n\n", b"") == encode_events(1, 4)


async def test_stream_without_ids_is_not_resumed(
    gateway: Gateway, start_server: StartServer
) -> None:
    """Guards against events that reach the caller twice when no id tells where to continue."""

    async def script(exchange: ScriptedExchange) -> None:
        await exchange.begin_stream()
        await exchange.send_chunk(b"data: a\n\n")
        await asyncio.sleep(0.05)
        exchange.reset()

    gateway.configure(*[await start_server(script) for _ in range(2)])
    response = await gateway.call("/resumable/1", body=b"prompt")
    assert not response.complete and response.body == b"data: a\n\n"


async def test_plain_answer_on_a_streaming_route_is_delivered(
    gateway: Gateway, start_server: StartServer
) -> None:
    """Guards against a success without events that is held back or changed."""

    async def script(exchange: ScriptedExchange) -> None:
        await exchange.send(_json_answer(exchange))

    gateway.configure(await start_server(script))
    response = await gateway.call("/resumable/1", body=b"prompt")
    assert (response.status, response.body, response.complete) == (200, ERROR_TEXT, True)


@pytest.mark.parametrize("odd_id", [b"1\rX-Api-Key: other", b"1\0", b"1" * 20_000])
async def test_stream_is_not_resumed_after_an_id_that_fits_into_no_header(
    gateway: Gateway, start_server: StartServer, odd_id: bytes
) -> None:
    """Guards against header lines that a server's event id adds to a request to another server."""

    async def script(exchange: ScriptedExchange) -> None:
        await exchange.begin_stream()
        await exchange.send_chunk(b"id: %b\ndata: a\n\n" % odd_id)
        await asyncio.sleep(0.05)
        exchange.reset()

    servers = [await start_server(script) for _ in range(2)]
    gateway.configure(*servers)
    response = await gateway.call("/resumable/1", body=b"prompt")
    assert not response.complete and response.body.startswith(b"id: 1")
    assert sum(len(server.received) for server in servers) == 1


async def test_events_before_a_gap_of_a_resumed_stream_are_delivered(
    gateway: Gateway, start_server: StartServer
) -> None:
    """Guards against an event that no server sends again, as a gap followed it in the same read."""
    resumed: list[str] = []

    async def script(exchange: ScriptedExchange) -> None:
        last_event_id = exchange.header("last-event-id")
        if not last_event_id:
            await exchange.begin_stream()
            await exchange.send_events(1, 2)
            await asyncio.sleep(0.05)
            exchange.reset()
            return
        resumed.append(last_event_id)
        if len(resumed) == 1:
            skipping = encode_events(3, 4) + encode_events(6, 7)
            await exchange.send(exchange.stream_head() + encode_chunk(skipping))
            await exchange.disconnected.wait()
        else:
            await exchange.resume_stream(7)

    gateway.configure(*[await start_server(script) for _ in range(3)], max_attempts=3)
    response = await gateway.call("/resumable/1", body=b"prompt")
    assert response.complete and response.body == encode_events(1, 7)
    assert resumed == ["2", "4"]
