"""Classification of failed calls by whether the server may have run them."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import httpx
import pytest
from returns.result import Success

from cornellead_agent.services import ServiceRequest
from cornellead_agent.services._server_client import MAX_RESPONSE_BYTES
from cornellead_agent.services._server_client import SendError
from cornellead_agent.services._server_client import ServerClient

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    Serve = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]

REQUEST = ServiceRequest(
    operation="book/seat",
    team="shop",
    key="order-1",
    key_time_s=None,
    body=b"{}" * 1000,
    content_type="application/json",
    deadline_s=1.0,
    request_id="r1",
    at_most_once=True,
)


async def close_on_accept(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Close the connection as soon as it is accepted."""
    writer.close()


async def close_after_request(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Close the connection after a part of the request."""
    await reader.read(100)
    writer.close()


async def truncate_response(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Send less of the response body than its content-length."""
    await reader.read(100)
    writer.write(b"HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\nhalf")
    writer.close()


async def never_respond(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Read the request and send no response."""
    while await reader.read(1000):
        pass
    writer.close()


async def trickle_response(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Send an endless response, each part within the client's read timeout."""
    writer.write(b"HTTP/1.1 200 OK\r\ncontent-length: 100000\r\n\r\n")
    while not writer.is_closing():
        writer.write(b".")
        await asyncio.sleep(0.01)


async def send_oversized_response(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    """Send a body above the size limit."""
    # Closing with unread bytes would reset the connection before the client read the response.
    await reader.readuntil(b"{}" * 1000)
    size = MAX_RESPONSE_BYTES + 1
    writer.write(b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n" % size + bytes(size))
    writer.close()


@pytest.mark.parametrize(
    ("serve", "timeout_s", "error"),
    [
        (close_on_accept, 10.0, SendError.LOST),
        (close_after_request, 10.0, SendError.LOST),
        (truncate_response, 10.0, SendError.LOST),
        (never_respond, 0.3, SendError.LOST),
        (trickle_response, 0.3, SendError.LOST),
        (send_oversized_response, 10.0, SendError.TOO_LARGE),
    ],
)
async def test_failure_after_connecting_is_not_reported_as_unsent(
    serve: Serve, timeout_s: float, error: SendError, free_address: Callable[[], str]
) -> None:
    """Guards against reporting a call that the server may have run as not sent."""
    address = free_address()
    host, port = address.split(":")
    server = await asyncio.start_server(serve, host, int(port))
    async with server, httpx.AsyncClient() as client:
        sender = ServerClient(client=client, url=f"http://{address}")
        assert (await sender.send(REQUEST, timeout_s=timeout_s)).failure() is error


async def test_refused_connection_is_reported_as_not_sent(free_address: Callable[[], str]) -> None:
    """Guards against a key that stays claimed although the call never reached the server."""
    async with httpx.AsyncClient() as client:
        sender = ServerClient(client=client, url=f"http://{free_address()}")
        assert (await sender.send(REQUEST, timeout_s=0.3)).failure() is SendError.NOT_SENT


async def test_request_has_key_quoted_path_and_new_connection() -> None:
    """Guards against a missing key, an unquoted operation in the path and connection reuse."""
    requests: list[httpx.Request] = []

    def respond(request: httpx.Request) -> httpx.Response:
        requests.append(request)
        return httpx.Response(201, text="booked")

    async with httpx.AsyncClient(transport=httpx.MockTransport(respond)) as client:
        result = await ServerClient(client=client, url="http://s/").send(REQUEST, timeout_s=1.0)
    assert isinstance(result, Success)
    assert (result.unwrap().status, result.unwrap().body) == (201, b"booked")
    assert requests[0].url.raw_path == b"/v1/book%2Fseat"
    wanted = {"idempotency-key": "order-1", "x-request-id": "r1", "connection": "close"}
    assert wanted.items() <= dict(requests[0].headers).items()
