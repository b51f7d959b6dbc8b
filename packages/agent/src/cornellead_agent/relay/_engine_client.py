"""HTTP client with a connection pool for the agent's server."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING
from typing import NamedTuple
from urllib.parse import urlsplit

from returns.result import Failure
from returns.result import Result
from returns.result import Success

from cornellead_agent.relay._engine_connection import EngineConnection
from cornellead_core.buffers import BufferBudget
from cornellead_core.close_delimited import ResponseEnd
from cornellead_core.close_delimited import ServerEndCheck
from cornellead_core.pacing import ArrivalTimeout
from cornellead_core.pacing import ReadPacer

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Sequence

CONNECT_TIMEOUT_S = 2.0
MAX_IDLE_CONNECTIONS = 32
"""Idle connections kept open for reuse."""
MAX_RESPONSE_BYTES = 16 << 20
"""Maximum size of a response that is read whole."""


class EngineRequestError(NamedTuple):
    """A request to the server that failed without a complete response."""

    message: str
    sent: bool
    """Whether bytes of the request may have reached the server."""


class CompleteResponse(NamedTuple):
    """A response that was received completely."""

    status: int
    headers: dict[str, str]
    body: bytes


class EngineClient:
    """Sends requests to one server and pools idle connections to it.

    Engines do not repeat the id of a request in their responses, so a late copy of an earlier
    response on a reused connection could be taken for the response to the next request. Therefore
    only periodic reads share connections; other requests have one each.

    :param url: Base URL with a numeric address, such as ``http://127.0.0.1:8000``.
    :param budget: Bounds what all responses hold together, those of periodic reads excepted.
    :param pacer: Shares the reads of the process among peers; by default, it has no others.
    :param leaving: Returns whether the server is being taken out of service.
    """

    def __init__(
        self,
        *,
        url: str,
        budget: BufferBudget | None = None,
        pacer: ReadPacer | None = None,
        leaving: Callable[[], bool] = lambda: False,
    ) -> None:
        self._budget = BufferBudget() if budget is None else budget
        self._pacer = (
            ReadPacer(call_soon=asyncio.get_running_loop().call_soon) if pacer is None else pacer
        )
        self._end_check = ServerEndCheck(url=url, leaving=leaving)
        parts = urlsplit(url)
        self._host = parts.hostname or "127.0.0.1"
        self._port = parts.port or 80
        self._idle_connections: list[EngineConnection] = []

    async def open(
        self,
        method: str,
        target: str,
        *,
        headers: Sequence[tuple[str, str]] = (),
        body: bytes = b"",
        shared: bool = False,
    ) -> Result[EngineConnection, EngineRequestError]:
        """Send a request and return the connection on which its response arrives.

        The caller returns the connection with `release`.

        :param shared: Whether the connection may be one of an earlier request, and be used by a
            later one.
        """
        head = self._encode_head(method, target, headers, body)
        conn = self._pop_idle_connection() if shared else None
        if conn is None:
            try:
                async with ArrivalTimeout(delay_s=CONNECT_TIMEOUT_S):
                    _, conn = await asyncio.get_running_loop().create_connection(
                        lambda: EngineConnection(
                            pacer=self._pacer, budget=None if shared else self._budget
                        ),
                        self._host,
                        self._port,
                    )
            except (OSError, TimeoutError) as exc:
                return Failure(
                    EngineRequestError(f"cannot connect to the server: {exc!r}", sent=False)
                )
        conn.shared = shared
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
        shared: bool = False,
    ) -> Result[CompleteResponse, EngineRequestError]:
        """Send a request and read the whole response.

        :param shared: As for `open`.
        :param timeout_s: Timeout for connecting, request and response together, in seconds.
        """
        conn: EngineConnection | None = None
        try:
            async with ArrivalTimeout(delay_s=timeout_s):
                open_result = await self.open(
                    method, target, headers=headers, body=body, shared=shared
                )
                if not isinstance(open_result, Success):
                    return Failure(open_result.failure())
                conn = open_result.unwrap()
                return await self._read_response(conn)
        except TimeoutError:
            return Failure(
                EngineRequestError("the server did not respond in time", conn is not None)
            )
        finally:
            if conn is not None:
                self.release(conn)

    def release(self, conn: EngineConnection) -> None:
        """Return a connection to the pool if it can be reused, else close it."""
        if conn.shared and conn.reusable and len(self._idle_connections) < MAX_IDLE_CONNECTIONS:
            self._idle_connections.append(conn)
            return
        conn.abort()

    def close(self) -> None:
        """Close idle connections."""
        while self._idle_connections:
            self._idle_connections.pop().abort()

    async def _read_response(
        self, conn: EngineConnection
    ) -> Result[CompleteResponse, EngineRequestError]:
        head = await conn.read_head()
        body = await conn.read_all(limit=MAX_RESPONSE_BYTES)
        if head is None or body is None:
            return Failure(
                EngineRequestError("the response ended early, or is too large", sent=True)
            )
        if conn.close_delimited and await self._end_check.run() is ResponseEnd.CUT:
            return Failure(EngineRequestError("the server ended while it answered", sent=True))
        return Success(CompleteResponse(head.status, head.headers, body))

    def _pop_idle_connection(self) -> EngineConnection | None:
        while self._idle_connections:
            conn = self._idle_connections.pop()
            if conn.reusable:
                return conn
        return None

    def _encode_head(
        self, method: str, target: str, headers: Sequence[tuple[str, str]], body: bytes
    ) -> bytes:
        lines = [f"{method} {target} HTTP/1.1", f"host: {self._host}:{self._port}"]
        lines.extend(f"{name}: {value}" for name, value in headers)
        if body or method in ("POST", "PUT"):
            lines.append(f"content-length: {len(body)}")
        return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")
