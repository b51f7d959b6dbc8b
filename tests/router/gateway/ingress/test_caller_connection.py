"""Connections of callers that send malformed, long, slow or no requests."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import pytest
from structlog.testing import capture_logs
from tests.router.gateway.builders import LIMITS
from tests.router.gateway.gateway_harness import Gateway
from tests.router.gateway.gateway_harness import encode_request
from tests.router.gateway.gateway_harness import read_response
from tests.router.gateway.ingress.test_caller_connection_model import FakeTransport

from cornellead.gateway.ingress import CallerConnection
from cornellead.gateway.ingress import ServingPhase
from cornellead.gateway.ingress import ServingState
from cornellead.gateway.ingress._caller_connection import MAX_PIPELINED_REQUESTS
from cornellead_core.pacing import SLICE_BYTES
from cornellead_core.pacing import ReadPacer

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    from tests.router.gateway.scripted_server import Script
    from tests.router.gateway.scripted_server import ScriptedExchange
    from tests.router.gateway.scripted_server import ScriptedServer

    from cornellead.gateway.ingress import CallerRequest
    from cornellead.gateway.ingress import ResponseWriter

HEAD = b"POST /unsafe/1 HTTP/1.1\r\nHost: box.example\r\nX-Request-Id: 7f\r\nX-Api-Key: key-1\r\n"


async def _echo(exchange: ScriptedExchange) -> None:
    await exchange.send(exchange.sealed_response(200, exchange.body))


@pytest.mark.parametrize(
    "request_bytes",
    [
        HEAD + b"Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        HEAD + b"Content-Length: 4\r\nContent-Length: 5\r\n\r\nabcde",
        HEAD + b"Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
        HEAD + b"Transfer-Encoding : chunked\r\n\r\n0\r\n\r\n",
        HEAD + b"Content-Length: +4\r\n\r\nabcd",
        HEAD + b"X-Request-Id: 80\r\nContent-Length: 0\r\n\r\n",
        b"GET http://box.example/safe/1 HTTP/1.1\r\nHost: box.example\r\n\r\n",
        b"nonsense\r\n\r\n",
    ],
)
async def test_ambiguous_requests_reach_no_server(
    gateway: Gateway,
    start_server: Callable[[Script], Awaitable[ScriptedServer]],
    request_bytes: bytes,
) -> None:
    """Guards against request smuggling: a request hidden in the body of another one."""
    server = await start_server(_echo)
    gateway.configure(server)
    reader, writer = await gateway.connect()
    writer.write(request_bytes + encode_request("/unsafe/2", request_id="evil"))
    assert (await read_response(reader)).status == 400
    writer.close()
    assert all(seen.request_id != "7f" for seen in server.received)


async def test_configured_size_limits_are_enforced(gateway: Gateway) -> None:
    """Guards against a caller that exhausts memory with long headers, bodies or chunks."""
    gateway.configure()
    reader, writer = await gateway.connect()
    writer.write(HEAD + b"X-Long: " + b"a" * 5000)
    assert (await read_response(reader)).status == 431
    writer.close()
    assert (await gateway.call("/unsafe/1", body=b"a" * 5000)).status == 413
    reader, writer = await gateway.connect()
    chunks = b"".join(b"400\r\n" + b"a" * 0x400 + b"\r\n" for _ in range(5))
    writer.write(HEAD + b"Transfer-Encoding: chunked\r\n\r\n" + chunks)
    assert (await read_response(reader)).status == 413
    writer.close()


async def test_incomplete_headers_time_out(gateway: Gateway) -> None:
    """Guards against connections that are held open with a partial request."""
    gateway.configure()
    reader, writer = await gateway.connect()
    writer.write(HEAD)
    assert (await asyncio.wait_for(read_response(reader), 1.0)).status == 408
    writer.close()


async def test_connection_is_kept_open_for_the_idle_timeout(
    gateway: Gateway, start_server: Callable[[Script], Awaitable[ScriptedServer]]
) -> None:
    """Guards against a close that coincides with the next request of a caller."""
    gateway.configure(await start_server(_echo))
    reader, writer = await gateway.connect()
    writer.write(encode_request("/unsafe/1", body=b"a"))
    assert (await read_response(reader)).body == b"a"
    await asyncio.sleep(0.45)
    writer.write(encode_request("/unsafe/2", body=b"b"))
    assert (await read_response(reader)).body == b"b"
    assert await asyncio.wait_for(reader.read(), 3.0) == b""
    writer.close()


async def test_pipelined_and_chunked_requests_are_served_in_order(
    gateway: Gateway, start_server: Callable[[Script], Awaitable[ScriptedServer]]
) -> None:
    """Guards against responses in another order than the requests."""
    server = await start_server(_echo)
    gateway.configure(server)
    reader, writer = await gateway.connect()
    chunked = HEAD + b"Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n1\r\nc\r\n0\r\n\r\n"
    writer.write(chunked + encode_request("/unsafe/2", body=b"second", request_id="80"))
    assert (await read_response(reader)).body == b"abc"
    assert (await read_response(reader)).body == b"second"
    assert server.received[0].header("content-length") == "3"
    writer.close()


async def test_requests_behind_others_are_read_only_as_these_are_answered(
    gateway: Gateway,
) -> None:
    """Guards against a caller that fills the memory with requests it sends without end."""
    gateway.configure()
    reader, writer = await gateway.connect()
    request = encode_request("/safe/1", key="")
    writer.write(request * 2000)
    per_read = -(-SLICE_BYTES // len(request))
    for _ in range(200):
        assert (await read_response(reader)).status == 401
        (conn,) = gateway.listener._conns
        assert len(conn._parser.requests) <= MAX_PIPELINED_REQUESTS + per_read
    writer.close()


async def test_expect_continue_gets_an_interim_response(
    gateway: Gateway, start_server: Callable[[Script], Awaitable[ScriptedServer]]
) -> None:
    """Guards against callers that wait a second for ``100 Continue`` before they send a body."""
    gateway.configure(await start_server(_echo))
    reader, writer = await gateway.connect()
    writer.write(HEAD + b"Expect: 100-continue\r\nContent-Length: 2\r\n\r\n")
    assert (await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), 1.0)).startswith(b"HTTP/1.1 100")
    writer.write(b"ab")
    assert (await read_response(reader)).body == b"ab"
    writer.close()


@pytest.mark.parametrize("rejected", [False, True])
async def test_expect_continue_behind_a_request_in_progress_gets_its_interim_response(
    gateway: Gateway, start_server: Callable[[Script], Awaitable[ScriptedServer]], rejected: bool
) -> None:
    """Guards against a 408 for a body that the caller holds back for ``100 Continue``."""
    read = asyncio.Event()

    async def answer(exchange: ScriptedExchange) -> None:
        await read.wait()
        await _echo(exchange)

    gateway.configure(await start_server(answer))
    reader, writer = await gateway.connect()
    writer.write(encode_request("/unsafe/1", body=b"first"))
    await asyncio.sleep(0.05)
    length = LIMITS.body_bytes + 1 if rejected else 2
    writer.write(HEAD + b"Expect: 100-continue\r\nContent-Length: %d\r\n\r\n" % length)
    await asyncio.sleep(0.05)
    read.set()
    assert (await read_response(reader)).body == b"first"
    if rejected:
        assert (await asyncio.wait_for(read_response(reader), 1.0)).status == 413
    else:
        interim = await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), 1.0)
        assert interim.startswith(b"HTTP/1.1 100")
        writer.write(b"ab")
        assert (await read_response(reader)).body == b"ab"
    writer.close()


async def test_interim_response_comes_after_the_response_to_the_request_before(
    gateway: Gateway, start_server: Callable[[Script], Awaitable[ScriptedServer]]
) -> None:
    """Guards against a ``100 Continue`` that a caller takes for one to its earlier request."""
    gateway.configure(await start_server(_echo))
    reader, writer = await gateway.connect()
    head = HEAD + b"Expect: 100-continue\r\nContent-Length: 2\r\n\r\n"
    writer.write(encode_request("/unsafe/1", body=b"first") + head)
    first = await asyncio.wait_for(read_response(reader), 1.0)
    assert (first.status, first.body) == (200, b"first")
    interim = await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), 1.0)
    assert interim.startswith(b"HTTP/1.1 100")
    writer.close()


async def test_oldest_idle_connection_is_evicted_for_a_new_one(
    free_address: Callable[[], str], start_server: Callable[[Script], Awaitable[ScriptedServer]]
) -> None:
    """Guards against new callers that cannot connect because idle connections use up all
    descriptors."""
    gateway = Gateway(free_address(), max_connections=3)
    await gateway.listener.start()
    gateway.configure(await start_server(_echo))
    conns = [await gateway.connect() for _ in range(3)]
    await asyncio.sleep(0.05)
    assert (await gateway.call("/unsafe/1", body=b"a")).body == b"a"
    assert await asyncio.wait_for(conns[0][0].read(), 1.0) == b""
    assert not conns[2][0].at_eof()
    for _, writer in conns:
        writer.close()
    gateway.listener.stop_accepting()


async def test_trailers_are_dropped(
    gateway: Gateway, start_server: Callable[[Script], Awaitable[ScriptedServer]]
) -> None:
    """Guards against a trailer that adds a model or an identity after the headers were checked."""
    server = await start_server(_echo)
    gateway.configure(server)
    reader, writer = await gateway.connect()
    trailers = b"X-Model: other\r\nX-Request-Id: 99\r\n"
    writer.write(HEAD + b"Transfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n" + trailers + b"\r\n")
    assert (await read_response(reader)).body == b"a"
    assert server.received[0].header("x-model") == ""
    assert server.received[0].request_id == "7f"
    writer.close()


async def test_new_limits_apply_to_open_connections(
    gateway: Gateway, start_server: Callable[[Script], Awaitable[ScriptedServer]]
) -> None:
    """Guards against limits of an old configuration on long-lived connections."""
    gateway.configure(await start_server(_echo))
    reader, writer = await gateway.connect()
    writer.write(encode_request("/unsafe/1", body=b"a" * 3000))
    assert (await read_response(reader)).status == 200
    gateway.limits = LIMITS._replace(body_bytes=1000)
    writer.write(encode_request("/unsafe/2", body=b"a" * 3000))
    assert (await read_response(reader)).status == 413
    writer.close()


async def test_empty_line_before_a_request_starts_no_timer(
    gateway: Gateway, start_server: Callable[[Script], Awaitable[ScriptedServer]]
) -> None:
    """Guards against a keep-alive connection that gets a 408 because of a stray line end."""
    gateway.configure(await start_server(_echo))
    reader, writer = await gateway.connect()
    writer.write(b"\r\n")
    await asyncio.sleep(LIMITS.header_timeout_s + 0.1)
    writer.write(encode_request("/unsafe/1", body=b"a"))
    assert (await asyncio.wait_for(read_response(reader), 1.0)).status == 200
    writer.close()


async def test_connection_that_is_closed_before_it_is_set_up_is_not_read() -> None:
    """Guards against requests that are read and dropped on a connection that was evicted, or
    finished by a stop, just after its accept."""
    conn = CallerConnection(
        handler=Gateway("127.0.0.1:0").listener._handler,
        serving=ServingState(),
        limits=lambda: LIMITS,
        clock=lambda: 0.0,
        on_closed=lambda _: None,
        pacer=ReadPacer(call_soon=asyncio.get_running_loop().call_soon),
    )
    conn.finish()
    transport = FakeTransport()
    conn.connection_made(transport)
    assert transport.closed


class _CancelledHandler:
    """Awaits something that another task cancels."""

    async def handle(self, req: CallerRequest, out: ResponseWriter) -> None:
        del req, out
        awaited = asyncio.get_running_loop().create_future()
        awaited.cancel()
        await awaited


async def test_request_is_answered_though_another_task_cancelled_what_it_awaits() -> None:
    """Guards against a connection that stalls without an answer to a request that was read."""
    conn = CallerConnection(
        handler=_CancelledHandler(),
        serving=ServingState(),
        limits=lambda: LIMITS,
        clock=lambda: 0.0,
        on_closed=lambda _: None,
        pacer=ReadPacer(call_soon=asyncio.get_running_loop().call_soon),
    )
    transport = FakeTransport()
    conn.connection_made(transport)
    conn.data_received(encode_request("/unsafe/1", body=b"a"))
    await asyncio.sleep(0.05)
    assert transport.written.startswith(b"HTTP/1.1 500")
    assert conn.settled


@pytest.mark.parametrize("partial", [b"", b"POST /unsafe/3 HTTP/1.1\r\nHost:"])
async def test_requests_behind_a_stream_that_announced_the_close_are_logged_and_counted(
    gateway: Gateway,
    start_server: Callable[[Script], Awaitable[ScriptedServer]],
    partial: bytes,
) -> None:
    """Guards against requests that are read in a planned stop and lost without a trace."""
    read = asyncio.Event()

    async def stream(exchange: ScriptedExchange) -> None:
        await exchange.begin_stream()
        await exchange.send_events(1, 2)
        await read.wait()
        await exchange.end_stream()

    server = await start_server(stream)
    gateway.configure(server)
    gateway.serving.advance(ServingPhase.LEAVING)
    reader, writer = await gateway.connect()
    writer.write(encode_request("/resumable/1", request_id="7f01"))
    assert b"connection: close" in (await reader.readuntil(b"\r\n\r\n")).lower()
    writer.write(encode_request("/safe/1", request_id="7f02") + partial)
    await asyncio.sleep(0.1)
    with capture_logs() as lines:
        read.set()
        await asyncio.wait_for(reader.read(), 1.0)
    (line,) = [line for line in lines if line["event"].startswith("requests behind")]
    assert (line["requests"], line["partial"]) == (1, bool(partial))
    assert line["close_announced_by"] == "router"
    assert gateway.serving.dropped == 1
    assert [seen.request_id for seen in server.received] == ["7f01"]
    writer.close()
