"""Responses that arrive while the request is still being sent."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import pytest
from tests.early_server import ENDS
from tests.early_server import UPLOAD
from tests.early_server import EarlyServer
from tests.router.gateway.builders import LIMITS
from tests.router.gateway.gateway_harness import encode_request
from tests.router.gateway.gateway_harness import read_response
from tests.router.gateway.scripted_server import encode_events

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from collections.abc import Awaitable
    from collections.abc import Callable

    from tests.router.gateway.gateway_harness import CallerResponse
    from tests.router.gateway.gateway_harness import Gateway
    from tests.router.gateway.scripted_server import Script
    from tests.router.gateway.scripted_server import ScriptedExchange
    from tests.router.gateway.scripted_server import ScriptedServer

    Start = Callable[..., Awaitable[EarlyServer]]
    StartServer = Callable[[Script], Awaitable[ScriptedServer]]

DEADLINE_MS = 1500
TIMEOUT_S = 4.0
PATHS = ("/unsafe/1", "/safe/1", "/stream/1", "/resumable/1")
EVENTS = encode_events(1, 2)


@pytest.fixture
async def start_early(gateway: Gateway) -> AsyncIterator[Start]:
    """Yield a function that starts a server which answers early, with others of the fleet."""
    servers: list[EarlyServer] = []

    async def start(*others: ScriptedServer, **options: object) -> EarlyServer:
        server = EarlyServer(**{"body": EVENTS, **options})  # type: ignore[arg-type]
        await server.start()
        servers.append(server)
        gateway.limits = LIMITS._replace(body_bytes=16 << 20)
        gateway.configure(server, *others, max_attempts=1 + len(others))  # type: ignore[arg-type]
        return server

    yield start
    for server in servers:
        server.stop()


async def _upload(gateway: Gateway, path: str, *, chunked: bool = False) -> CallerResponse:
    """Send a long request; responses are read while it is being written."""
    reader, writer = await gateway.connect()
    headers = [f"X-Deadline-Ms: {DEADLINE_MS}"]
    if path.startswith("/safe"):
        headers.append(f"Content-Length: {len(UPLOAD)}")
    data = encode_request(path, *headers, body=UPLOAD)
    if chunked:
        head = data.partition(b"\r\n\r\n")[0].split(b"\r\n")
        head = [line for line in head if not line.startswith(b"Content-Length")]
        head.append(b"Transfer-Encoding: chunked\r\n\r\n")
        data = b"\r\n".join(head) + b"%x\r\n%b\r\n0\r\n\r\n" % (len(UPLOAD), UPLOAD)
    writer.write(data)
    async with asyncio.timeout(TIMEOUT_S):
        response = await read_response(reader)
    writer.close()
    return response


@pytest.mark.parametrize("end", ENDS)
@pytest.mark.parametrize("path", [*PATHS, "chunked"])
async def test_response_without_a_length_to_a_request_not_sent_is_incomplete(
    gateway: Gateway, start_early: Start, path: str, end: str
) -> None:
    """Guards against part of a response that a caller takes for the whole: its server ended the
    connection while the request was being sent."""
    await start_early(end=end)
    chunked = path == "chunked"
    response = await _upload(gateway, "/unsafe/1" if chunked else path, chunked=chunked)
    assert not (response.status == 200 and response.complete)
    if path in ("/unsafe/1", "/safe/1", "chunked"):
        assert response.status == 502


@pytest.mark.parametrize("path", PATHS)
async def test_response_without_a_length_to_a_request_sent_is_complete(
    gateway: Gateway, start_early: Start, path: str
) -> None:
    """Guards against a complete response that is rejected because it has no length."""
    server = await start_early(end="fin")
    response = await gateway.call(path, f"X-Deadline-Ms: {DEADLINE_MS}")
    assert server.heads
    assert (response.status, response.complete, response.body) == (200, True, EVENTS)


async def test_connection_with_a_request_not_sent_is_not_reused(
    gateway: Gateway, start_early: Start
) -> None:
    """Guards against a request that waits behind the unsent rest of an earlier one."""
    server = await start_early(end="stay", fields=b"Content-Length: %d\r\n" % len(EVENTS))
    response = await _upload(gateway, "/unsafe/1")
    assert (response.status, response.body) == (200, EVENTS)
    following = await gateway.call("/safe/1", f"X-Deadline-Ms: {DEADLINE_MS}", request_id="7f02")
    assert (following.status, following.body) == (200, EVENTS)
    assert len(server.heads) == 2


@pytest.mark.parametrize("status", [b"000", b"099", b"101", b"104", b"199", b"600", b"999"])
@pytest.mark.parametrize("path", PATHS)
async def test_response_with_an_invalid_status_ends_at_once(
    gateway: Gateway, start_early: Start, path: str, status: bytes
) -> None:
    """Guards against a status outside of HTTP that reaches a caller, or that holds a request until
    its deadline."""
    fields = b"Content-Length: %d\r\n" % len(EVENTS)
    await start_early(end="stay", status=status, fields=fields)
    started_at = asyncio.get_running_loop().time()
    response = await gateway.call(path, f"X-Deadline-Ms: {DEADLINE_MS}")
    assert response.status == 502
    assert asyncio.get_running_loop().time() - started_at < DEADLINE_MS / 1000


async def test_resumable_stream_goes_on_elsewhere_after_an_incomplete_response(
    gateway: Gateway, start_early: Start, start_server: StartServer
) -> None:
    """Guards against a stream that is cut although another server can go on with it."""

    async def respond(exchange: ScriptedExchange) -> None:
        await exchange.resume_stream(4)

    early = await start_early(await start_server(respond), end="fin")
    for _ in range(4):
        response = await _upload(gateway, "/resumable/1")
        assert (response.status, response.complete) == (200, True)
        assert response.body == encode_events(1, 4)
    assert early.heads
