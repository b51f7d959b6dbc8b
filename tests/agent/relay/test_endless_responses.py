"""Tests of an engine in trouble that sends bytes without end, in a head, a body or an event."""

from __future__ import annotations

import asyncio
import time
import tracemalloc

import pytest
from returns.result import Failure
from tests.router.gateway.scripted_server import ScriptedExchange
from tests.router.gateway.scripted_server import ScriptedServer

from cornellead_agent.relay import EngineClient
from cornellead_agent.relay import EventAssembler
from cornellead_agent.relay._event_assembler import MAX_BUFFERED_BYTES

TIMEOUT_S = 2.0
MAX_MEMORY_BYTES = 64 << 20
"""Memory that one process may use for control, which a single response must not exceed."""
BLOCK = b"a" * (60 << 10)
CHUNK = b"%x\r\n%b\r\n" % (len(BLOCK), BLOCK)
ENDLESS = {
    "header": (b"HTTP/1.1 200 OK\r\nX-Long: ", BLOCK),
    "body": (b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", CHUNK),
}
"""First bytes of a response, and the bytes that follow without end."""


async def _start_endless(first: bytes, repeated: bytes) -> ScriptedServer:
    async def script(exchange: ScriptedExchange) -> None:
        await exchange.send(first)
        while not exchange.disconnected.is_set():
            await exchange.send(repeated)
            await asyncio.sleep(0)

    server = ScriptedServer(script)
    await server.start()
    return server


@pytest.mark.parametrize("kind", ENDLESS)
async def test_endless_response_of_an_engine_ends_early(kind: str) -> None:
    """Guards against an agent that runs out of memory because of its engine."""
    server = await _start_endless(*ENDLESS[kind])
    client = EngineClient(url=f"http://{server.address}")
    tracemalloc.start()
    started_at = time.monotonic()
    try:
        result = await client.fetch("GET", "/", timeout_s=TIMEOUT_S)
        peak_bytes = tracemalloc.get_traced_memory()[1]
    finally:
        tracemalloc.stop()
        server.stop()
    assert isinstance(result, Failure)
    assert time.monotonic() - started_at < TIMEOUT_S
    assert peak_bytes < MAX_MEMORY_BYTES


def test_endless_event_overflows() -> None:
    """Guards against an event that is buffered without a limit."""
    assembler = EventAssembler(delivered=0)
    blocks = 0
    while not assembler.overflowed and blocks < 100:
        assembler.feed(BLOCK)
        blocks += 1
    assert blocks < 100


def test_events_behind_a_missing_one_overflow_by_their_size() -> None:
    """Guards against one stream that holds hundreds of long events out of order (issue 35)."""
    assembler = EventAssembler(delivered=0)
    for number in range(2, 200):
        assembler.feed(b"id: %d\ndata: %b\n\n" % (number, BLOCK))
        if assembler.overflowed:
            break
    assert assembler.overflowed and assembler.buffered_bytes < 2 * MAX_BUFFERED_BYTES
    assembler.reset()
    assert assembler.buffered_bytes == 0 and not assembler.overflowed


@pytest.mark.parametrize("step", [1, 7, 60_000])
def test_counted_bytes_are_those_that_are_held(step: int) -> None:
    """Guards against a count that drifts from what the stream holds."""
    assembler = EventAssembler(delivered=0)
    order = [3, 2, 5, 1, 4, 7, 6]
    data = b"".join(b"id: %d\ndata: %d\n\n" % (number, number) for number in order)
    out = b"".join(assembler.feed(data[at : at + step]) for at in range(0, len(data), step))
    assert out == b"".join(b"id: %d\ndata: %d\n\n" % (n, n) for n in range(1, 8))
    assert assembler.buffered_bytes == 0


ENDLESS_IN_CHAT = {
    "whole body": (b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", CHUNK),
    "short header lines": (b"HTTP/1.1 200 OK\r\n", b"a:b\r\n" * 10_000),
}


@pytest.mark.parametrize("kind", ENDLESS_IN_CHAT)
async def test_endless_answer_to_a_chat_ends_early(kind: str) -> None:
    """Guards against an agent that keeps all bytes of an answer which is not streamed."""
    server = await _start_endless(*ENDLESS_IN_CHAT[kind])
    client = EngineClient(url=f"http://{server.address}")
    tracemalloc.start()
    try:
        async with asyncio.timeout(10.0):
            opened = [await client.open("POST", "/v1/chat/completions") for _ in range(8)]
            conns = [result.unwrap() for result in opened]
            bodies = await asyncio.gather(*(conn.read_all(limit=16 << 20) for conn in conns))
        peak_bytes = tracemalloc.get_traced_memory()[1]
    finally:
        tracemalloc.stop()
        server.stop()
    assert bodies == [None] * 8
    assert peak_bytes < MAX_MEMORY_BYTES


def test_id_of_too_many_digits_is_no_number() -> None:
    """Guards against an event id that raises out of the parser of an engine's stream (issue 35)."""
    assembler = EventAssembler(delivered=0)
    assert assembler.feed(b"id: " + b"1" * 5000 + b"\ndata: x\n\n") == b""
    assert assembler.feed(b"id: 1\ndata: a\n\n") == b"id: 1\ndata: a\n\n"
