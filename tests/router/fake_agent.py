"""Scripted agents that are called over HTTP, and the responses that they send."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Mapping
from typing import NamedTuple
from typing import TypeAlias

from cornellead_core import headers
from cornellead_core.platform import HostEntry
from cornellead_core.platform import HostKind


class FakeRequest(NamedTuple):
    """Request as received by the agent."""

    path: str
    headers: Mapping[str, str]
    body: bytes
    connection: int
    """Number of the connection in the order of opening, from 0."""

    @property
    def id(self) -> str:
        """Request id."""
        return self.headers[headers.REQUEST]

    @property
    def resume(self) -> int:
        """Number of events that the caller already received, 0 for a new stream."""
        return int(self.headers.get(headers.RESUME, "0"))


Script: TypeAlias = Callable[[FakeRequest, asyncio.StreamWriter], Awaitable[None]]


class FakeAgent:
    """HTTP server on a local port that runs a script for each request.

    The script writes the response. Requests on one connection are served one after the other.
    """

    def __init__(self, name: str, script: Script, *, dc: str = "dc-a", service: str = "") -> None:
        self.name = name
        self.script = script
        self.dc = dc
        self.service = service
        self.requests: list[FakeRequest] = []
        self.connections = 0
        self.closed_by_router = asyncio.Event()
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Start to listen on a free port, unless it does for another router."""
        if self._server is not None:
            return
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)

    async def stop(self) -> None:
        """Stop listening and close all connections."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    def entry(self) -> HostEntry:
        """Return the entry of this agent for the host list."""
        assert self._server is not None
        port = self._server.sockets[0].getsockname()[1]
        models = () if self.service else ("m",)
        return HostEntry(
            self.name,
            HostKind.AGENT,
            "region",
            self.dc,
            f"127.0.0.1:{port}",
            f"control-{self.name}",
            service=self.service,
            models=models,
            capacity=4.0,
        )

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        number = self.connections
        self.connections += 1
        self._writers.add(writer)
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
                fields = dict(line.split(": ", 1) for line in head[1:] if line)
                body = await reader.readexactly(int(fields["content-length"]))
                request = FakeRequest(head[0].split(" ")[1], fields, body, number)
                self.requests.append(request)
                await self.script(request, writer)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            self.closed_by_router.set()
        except asyncio.CancelledError:
            pass  # The test has ended and its event loop is being closed.
        finally:
            self._writers.discard(writer)
            writer.close()


def encode_head(
    request: FakeRequest, *, status: int = 200, request_id: str | None = None, **fields: str
) -> bytes:
    """Return status line and headers of a response.

    :param request_id: Request id in the response, by default that of the request.
    :param fields: Headers; ``_`` in a name stands for ``-``.
    """
    lines = [f"HTTP/1.1 {status} X", f"{headers.REQUEST}: {request_id or request.id}"]
    lines += [f"{name.replace('_', '-')}: {text}" for name, text in fields.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


def encode_stream_head(request: FakeRequest, *, request_id: str | None = None) -> bytes:
    """Return status line and headers of an event stream."""
    return encode_head(
        request,
        request_id=request_id,
        content_type="text/event-stream",
        transfer_encoding="chunked",
    )


def encode_event(number: int, text: str = "") -> bytes:
    """Return an event, by default with a text that depends on its number only."""
    data = json.dumps({"choices": [{"delta": {"content": text or f"t{number} "}}]})
    return f"id: {number}\ndata: {data}\n\n".encode()


def encode_done_event(number: int) -> bytes:
    """Return the final event."""
    return b"id: %d\ndata: [DONE]\n\n" % number


def encode_end_comment(request: FakeRequest, events: int, *, word: str = "end") -> bytes:
    """Return the comment that ends a response.

    :param word: ``end`` for a complete stream, ``moved`` for one to resume on another server.
    """
    return f": {word} {request.id} {events}\n\n".encode()


def encode_chunk(data: bytes) -> bytes:
    """Return a chunk of a chunked body; empty data returns the last chunk."""
    return b"%x\r\n%s\r\n" % (len(data), data)


def stream_events(total: int) -> Script:
    """Return a script that streams events up to number ``total`` and the final event.

    It leaves out the events that the caller already received.
    """

    async def script(request: FakeRequest, writer: asyncio.StreamWriter) -> None:
        writer.write(encode_stream_head(request))
        for number in range(request.resume + 1, total + 1):
            writer.write(encode_chunk(encode_event(number)))
        writer.write(
            encode_chunk(encode_done_event(total + 1))
            + encode_chunk(encode_end_comment(request, total + 1))
            + encode_chunk(b"")
        )

    return script


def refuse(reason: str, *, hint: str = "", status: int = 503) -> Script:
    """Return a script that refuses every request."""

    async def script(request: FakeRequest, writer: asyncio.StreamWriter) -> None:
        fields = {headers.REFUSAL: reason, "content-length": "0"}
        if hint:
            fields[headers.HINT] = hint
        writer.write(encode_head(request, status=status, **fields))

    return script


def respond_with(body: bytes, *, status: int = 200) -> Script:
    """Return a script that responds to every request with the same body."""

    async def script(request: FakeRequest, writer: asyncio.StreamWriter) -> None:
        fields = {"content-length": str(len(body)), "content-type": "application/json"}
        writer.write(encode_head(request, status=status, **fields) + body)

    return script


async def close_connection(request: FakeRequest, writer: asyncio.StreamWriter) -> None:
    """Close the connection without a response, after the request was read."""
    writer.transport.abort()
    raise ConnectionResetError


async def never_respond(request: FakeRequest, writer: asyncio.StreamWriter) -> None:
    """Never respond."""
    await asyncio.Event().wait()
