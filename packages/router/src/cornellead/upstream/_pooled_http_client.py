"""Requests whose responses are read into memory, over pooled connections."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from returns.result import Failure
from returns.result import Result
from returns.result import Success

from cornellead_core.pacing import ArrivalTimeout
from cornellead_core.routing import HttpResponse

if TYPE_CHECKING:
    from cornellead.upstream._connection_pool import ConnectionPool

MAX_BODY_BYTES = 16 << 20
"""Maximum size of a response body; enough for a list of about ten thousand servers."""
STALL_TIMEOUT_S = 0.8
"""Maximum pause in a response body. A connection may go silent without being closed."""
MIN_BODY_BYTES_PER_S = 100_000.0
"""Minimum average rate of a body that may exceed the timeout of the call: a sixth of the slowest
link, which callers use as well."""
MAX_EXTENSION_S = 6.0
"""Maximum extension of the timeout of a call: 3.7 MB over a link of 5 Mbit/s."""


def encode_request_head(address: str, method: str, target: str, length: int) -> bytes:
    """Return request line and headers of a request.

    >>> encode_request_head("10.0.0.1:80", "GET", "/x", 0)
    b'GET /x HTTP/1.1\\r\\nHost: 10.0.0.1:80\\r\\nContent-Length: 0\\r\\n\\r\\n'
    """
    lines = f"{method} {target} HTTP/1.1\r\nHost: {address}\r\nContent-Length: {length}\r\n\r\n"
    return lines.encode()


class PooledHttpClient:
    """Sends requests and reads their complete responses.

    The time for a body grows with its size, since a large one that is cut off by a fixed timeout
    never arrives, however often it is requested.
    """

    def __init__(self, *, pool: ConnectionPool) -> None:
        self._pool = pool

    async def call(
        self, address: str, method: str, target: str, *, body: bytes = b"", timeout_s: float
    ) -> Result[HttpResponse, str]:
        """Send a request and read the complete response.

        :param address: ``ip:port``.
        :param target: Path and query.
        :param timeout_s: Maximum time until the response is complete, in addition to the time that
            a large body takes.
        :returns: The response, or a message that says why it is missing or incomplete. The server
            may have received the request in either case.
        """
        head = encode_request_head(address, method, target, len(body))
        loop = asyncio.get_running_loop()
        started_at = loop.time()

        def extend_limit(size: int) -> None:
            extension_s = min(MAX_EXTENSION_S, size / MIN_BODY_BYTES_PER_S)
            time_left_s = started_at + timeout_s + extension_s - loop.time()
            # A timer that is due would start anew with each read.
            if time_left_s > 0:
                limit.reschedule(min(STALL_TIMEOUT_S, time_left_s))

        try:
            async with ArrivalTimeout(delay_s=timeout_s) as limit:
                sent = await self._pool.send(address, head, body, essential=True)
                if isinstance(sent, Failure):
                    return Failure(sent.failure().message)
                exchange = sent.unwrap()
                response = await exchange.head()
                if response is None:
                    return Failure("the connection closed before the response")
                response_at = loop.time()
                response_body = await exchange.read_all(
                    limit=MAX_BODY_BYTES, on_progress=extend_limit
                )
        except TimeoutError:
            return Failure(f"no complete response within {loop.time() - started_at:.2f} s")
        if response_body is None:
            return Failure("the response is incomplete or too large")
        return Success(
            HttpResponse(
                response.status,
                response_body,
                wait_s=response_at - started_at,
                transfer_s=loop.time() - response_at,
                headers=response.headers,
            )
        )
