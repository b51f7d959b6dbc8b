"""Requests of callers whose headers a parser could read in another way than their servers do."""

from __future__ import annotations

import tracemalloc
from typing import TYPE_CHECKING

import pytest
from tests.router.gateway.builders import LIMITS
from tests.router.gateway.gateway_harness import encode_request
from tests.router.gateway.gateway_harness import read_response

from cornellead.gateway.ingress._request_parser import RejectionStatus
from cornellead.gateway.ingress._request_parser import RequestParser

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    from tests.router.gateway.gateway_harness import Gateway
    from tests.router.gateway.scripted_server import Script
    from tests.router.gateway.scripted_server import ScriptedExchange
    from tests.router.gateway.scripted_server import ScriptedServer

    StartServer = Callable[[Script], Awaitable[ScriptedServer]]


async def _echo(exchange: ScriptedExchange) -> None:
    await exchange.send(exchange.sealed_response(200, exchange.request_id.encode() + exchange.body))


@pytest.mark.parametrize("space", [b" ", b"\t", b" \t "])
@pytest.mark.parametrize("name", [b"Host", b"X-Request-Id", b"X-Api-Key", b"Content-Length"])
async def test_space_behind_a_header_value_changes_nothing(
    gateway: Gateway, start_server: StartServer, name: bytes, space: bytes
) -> None:
    """Guards against the loss of an answer whose request id the server read without the space."""
    gateway.configure(await start_server(_echo), timeout_s=1.0)
    reader, writer = await gateway.connect()
    head, _, body = encode_request("/unsafe/1", body=b"payment").partition(b"\r\n\r\n")
    lines = [line + space if line.startswith(name) else line for line in head.split(b"\r\n")]
    writer.write(b"\r\n".join(lines) + b"\r\n\r\n" + body)
    response = await read_response(reader)
    assert (response.status, response.body) == (200, b"7f01payment")
    writer.close()


@pytest.mark.parametrize("pieces", [1, 2, 7])
async def test_body_behind_an_offered_upgrade_is_read(
    gateway: Gateway, start_server: StartServer, pieces: int
) -> None:
    """Guards against a payment that is passed on without its body, and answers to no request."""
    server = await start_server(_echo)
    gateway.configure(server)
    reader, writer = await gateway.connect()
    offer = ("Connection: Upgrade, HTTP2-Settings", "Upgrade: h2c", "HTTP2-Settings: AAMAAABk")
    data = encode_request("/unsafe/1", body=b"first", request_id="7f01")
    data += encode_request("/unsafe/2", *offer, body=b"payment", request_id="7f02")
    data += encode_request("/unsafe/3", body=b"third", request_id="7f03")
    size = -(-len(data) // pieces)
    for start in range(0, len(data), size):
        writer.write(data[start : start + size])
        await writer.drain()
    responses = [await read_response(reader) for _ in range(3)]
    assert [response.status for response in responses] == [200, 200, 200]
    bodies = [response.body for response in responses]
    assert bodies == [b"7f01first", b"7f02payment", b"7f03third"]
    assert not any(b"upgrade" in seen.head.lower() for seen in server.received)
    writer.close()


def test_number_of_offered_upgrades_in_one_read_is_not_limited() -> None:
    """Guards against requests that are rejected since each offer before them took of the stack."""
    parser = RequestParser(limits=LIMITS)
    request = encode_request("/safe/1", "Connection: Upgrade", "Upgrade: h2c")
    parser.feed(request * 1000, now=0.0)
    assert (len(parser.requests), parser.rejection) == (1000, None)


@pytest.mark.parametrize("part", [b"0\r\nX-Trailer: ", b"1;extension="], ids=["trailer", "chunk"])
def test_trailers_and_chunk_extensions_count_as_headers(part: bytes) -> None:
    """Guards against a caller that fills the memory with a trailer without end."""
    parser = RequestParser(limits=LIMITS)
    head = b"POST /unsafe/1 HTTP/1.1\r\nHost: box.example\r\nTransfer-Encoding: chunked\r\n\r\n"
    parser.feed(head + part, now=0.0)
    for _ in range(LIMITS.header_bytes // 100):
        parser.feed(b"a" * 100, now=0.0)
    assert parser.rejection is None
    parser.feed(b"a" * 200, now=0.0)
    assert parser.rejection is RejectionStatus.HEADERS_TOO_LARGE


def test_rejected_body_is_not_kept() -> None:
    """Guards against a caller that runs a router out of memory with a body without end, which it
    sends behind a request in progress."""
    parser = RequestParser(limits=LIMITS)
    head = encode_request("/unsafe/1").replace(b"Content-Length: 0", b"Transfer-Encoding: chunked")
    chunk = b"4000\r\n" + b"a" * 0x4000 + b"\r\n"
    tracemalloc.start()
    parser.feed(head, now=0.0)
    for _ in range(100):
        parser.feed(chunk, now=0.0)
    held_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    assert parser.rejection is RejectionStatus.BODY_TOO_LARGE
    assert held_bytes < 4 * len(chunk)


def test_trailers_count_as_held_bytes_of_an_unfinished_request() -> None:
    """Guards against trailers that the sum of unfinished requests leaves out."""
    parser = RequestParser(limits=LIMITS)
    head = encode_request("/unsafe/1").replace(b"Content-Length: 0", b"Transfer-Encoding: chunked")
    parser.feed(head, now=0.0)
    held_bytes = parser.partial_bytes
    parser.feed(b"0\r\nX-Trailer: " + b"a" * 1000, now=0.0)
    assert parser.partial_bytes >= held_bytes + 1000


def test_request_that_was_given_up_holds_nothing() -> None:
    """Guards against a caller that is chosen again and again for what it no longer holds."""
    parser = RequestParser(limits=LIMITS)
    parser.feed(encode_request("/unsafe/1", body=b"a" * 1000)[:-1], now=0.0)
    assert parser.partial_bytes > 1000
    parser.drop_partial_request()
    parser.feed(b"a", now=0.0)
    assert parser.partial_bytes == 0 and not parser.requests
