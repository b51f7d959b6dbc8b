"""Short calls over pooled connections."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from returns.result import Failure
from returns.result import Result
from returns.result import Success

from cornellead_core.routing import HttpReply

if TYPE_CHECKING:
    from cornellead.upstream._connection_pool import ConnectionPool

MAX_BODY_BYTES = 16 << 20
"""Longest response that is read: a list of some ten thousand servers."""


def encode_call(address: str, method: str, target: str, length: int) -> bytes:
    """Return the head of a request.

    >>> encode_call("10.0.0.1:80", "GET", "/x", 0)
    b'GET /x HTTP/1.1\\r\\nHost: 10.0.0.1:80\\r\\nContent-Length: 0\\r\\n\\r\\n'
    """
    lines = f"{method} {target} HTTP/1.1\r\nHost: {address}\r\nContent-Length: {length}\r\n\r\n"
    return lines.encode()


class PooledCaller:
    """Sends requests and reads whole responses."""

    def __init__(self, *, pool: ConnectionPool) -> None:
        self._pool = pool

    async def call(
        self, address: str, method: str, target: str, *, body: bytes = b"", timeout_s: float
    ) -> Result[HttpReply, str]:
        """Send a request and read the whole response.

        :param address: ``ip:port``.
        :param target: Path and query.
        :param timeout_s: Longest time until the response has arrived whole.
        :returns: Why there is no whole response, if so; the request may have been received.
        """
        head = encode_call(address, method, target, len(body))
        try:
            async with asyncio.timeout(timeout_s):
                sent = await self._pool.send(address, head, body)
                if isinstance(sent, Failure):
                    return Failure(sent.failure().message)
                exchange = sent.unwrap()
                response = await exchange.head()
                if response is None:
                    return Failure("connection broke before the response")
                whole = await exchange.read_all(limit=MAX_BODY_BYTES)
        except TimeoutError:
            return Failure(f"no response in {timeout_s:.2f} s")
        if whole is None:
            return Failure("connection broke in the response")
        return Success(HttpReply(response.status, whole))
