"""HTTP client of the server beside the agent."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING
from typing import NamedTuple
from urllib.parse import urlsplit

from returns.result import Failure
from returns.result import Result
from returns.result import Success

from cornellead_agent.relay._engine_connection import EngineConnection

if TYPE_CHECKING:
    from collections.abc import Sequence

CONNECT_TIMEOUT_S = 2.0
MAX_IDLE = 32
"""Idle connections kept for reuse."""


class ExchangeError(NamedTuple):
    """A request to the server failed."""

    message: str
    sent: bool
    """Whether bytes of the request may have reached the server."""


class WholeResponse(NamedTuple):
    """A response whose body was received completely."""

    status: int
    headers: dict[str, str]
    body: bytes


class EngineClient:
    """Keeps idle connections to one server.

    :param url: Base URL with a numeric address, such as ``http://127.0.0.1:8000``.
    """

    def __init__(self, *, url: str) -> None:
        parts = urlsplit(url)
        self._host = parts.hostname or "127.0.0.1"
        self._port = parts.port or 80
        self._idle: list[EngineConnection] = []

    async def open(
        self,
        method: str,
        target: str,
        *,
        headers: Sequence[tuple[str, str]] = (),
        body: bytes = b"",
    ) -> Result[EngineConnection, ExchangeError]:
        """Send a request and return the connection to read its response from."""
        head = self._head(method, target, headers, body)
        conn = self._reuse()
        if conn is None:
            try:
                async with asyncio.timeout(CONNECT_TIMEOUT_S):
                    _, conn = await asyncio.get_running_loop().create_connection(
                        EngineConnection, self._host, self._port
                    )
            except (OSError, TimeoutError) as exc:
                return Failure(ExchangeError(f"cannot connect to the server: {exc!r}", sent=False))
        conn.send(head, body)
        return Success(conn)

    async def fetch(
        self,
        method: str,
        target: str,
        *,
        headers: Sequence[tuple[str, str]] = (),
        body: bytes = b"",
        timeout_s: float,
    ) -> Result[WholeResponse, ExchangeError]:
        """Send a request and read the whole response.

        :param timeout_s: Longest time for the exchange, in seconds.
        """
        conn: EngineConnection | None = None
        try:
            async with asyncio.timeout(timeout_s):
                opened = await self.open(method, target, headers=headers, body=body)
                if not isinstance(opened, Success):
                    return Failure(opened.failure())
                conn = opened.unwrap()
                return await self._read_whole(conn)
        except TimeoutError:
            return Failure(ExchangeError("the server did not answer in time", conn is not None))
        finally:
            if conn is not None:
                self.release(conn)

    def release(self, conn: EngineConnection) -> None:
        """Keep a connection for reuse if its response is complete, else close it."""
        if conn.reusable and len(self._idle) < MAX_IDLE:
            self._idle.append(conn)
            return
        conn.abort()

    def close(self) -> None:
        """Close idle connections."""
        while self._idle:
            self._idle.pop().abort()

    async def _read_whole(self, conn: EngineConnection) -> Result[WholeResponse, ExchangeError]:
        head = await conn.response()
        parts: list[bytes] = []
        while not conn.complete:
            data = await conn.read()
            if not data and not conn.complete:
                break
            parts.append(data)
        if head is None or not conn.complete:
            return Failure(ExchangeError("the server closed the connection early", sent=True))
        return Success(WholeResponse(head.status, head.headers, b"".join(parts)))

    def _reuse(self) -> EngineConnection | None:
        while self._idle:
            conn = self._idle.pop()
            if conn.reusable:
                return conn
        return None

    def _head(
        self, method: str, target: str, headers: Sequence[tuple[str, str]], body: bytes
    ) -> bytes:
        lines = [f"{method} {target} HTTP/1.1", f"host: {self._host}:{self._port}"]
        lines.extend(f"{name}: {value}" for name, value in headers)
        if body or method in ("POST", "PUT"):
            lines.append(f"content-length: {len(body)}")
        return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")
