"""A backend server that responds with the raw bytes of a script."""

from __future__ import annotations

import asyncio
import socket
import struct
from collections.abc import Awaitable
from collections.abc import Callable

Script = Callable[["ScriptedExchange"], Awaitable[None]]


class ScriptedExchange:
    """A received request, with methods to write the response."""

    def __init__(
        self, request_id: str, head: bytes, body: bytes, writer: asyncio.StreamWriter
    ) -> None:
        self.request_id = request_id
        self.head = head
        self.body = body
        self.writer = writer
        self.rate_limit: float | None = None
        """Rate of requests that the responses name."""
        self.extra_headers: tuple[str, ...] = ()
        """Header lines that all responses have."""
        self.disconnected = asyncio.Event()
        """Set once the router has closed or reset the connection."""

    def header(self, name: str) -> str:
        """Return the value of a header, or an empty string.

        :param name: In lower case.
        """
        for line in self.head.decode().split("\r\n")[1:]:
            key, _, value = line.partition(":")
            if key.lower() == name:
                return value.strip()
        return ""

    async def send(self, data: bytes) -> None:
        """Write bytes."""
        self.writer.write(data)
        await self.writer.drain()

    def reset(self) -> None:
        """Reset the connection."""
        reset(self.writer)

    def response(self, status: int, *headers: str, body: bytes = b"") -> bytes:
        """Return a complete response without a seal."""
        lines = [f"HTTP/1.1 {status} X", f"X-Request-Id: {self.request_id}", *headers]
        lines += self._own_headers()
        lines.append(f"Content-Length: {len(body)}")
        return "\r\n".join(lines).encode() + b"\r\n\r\n" + body

    def sealed_response(self, status: int, body: bytes, *headers: str) -> bytes:
        """Return a complete response with the seal that marks it as the server's own."""
        return self.response(status, "X-Response-Seal: seal", *headers, body=body)

    def _own_headers(self) -> list[str]:
        limit = [] if self.rate_limit is None else [f"Server-Limit: {self.rate_limit}"]
        return [*limit, *self.extra_headers]

    def stream_head(self, *headers: str) -> bytes:
        """Return the head of an event stream.

        :param headers: Further header lines.
        """
        lines = (
            "HTTP/1.1 200 OK",
            f"X-Request-Id: {self.request_id}",
            "X-Response-Seal: seal",
            "Content-Type: text/event-stream",
            "Transfer-Encoding: chunked",
            *headers,
            *self._own_headers(),
        )
        return "\r\n".join(lines).encode() + b"\r\n\r\n"

    async def begin_without_length(self, *headers: str) -> None:
        """Write the head of a sealed response that ends with its connection.

        :param headers: Further header lines.
        """
        head = self.stream_head("Connection: close", *headers)
        await self.send(head.replace(b"Transfer-Encoding: chunked\r\n", b""))

    async def begin_stream(self, *headers: str) -> None:
        """Write the head of an event stream.

        :param headers: Further header lines.
        """
        await self.send(self.stream_head(*headers))

    async def send_events(self, first: int, last: int) -> None:
        """Write numbered events, ``last`` included."""
        for number in range(first, last + 1):
            await self.send_chunk(encode_event(number))

    async def send_chunk(self, data: bytes) -> None:
        """Write bytes as a chunk of an event stream."""
        await self.send(encode_chunk(data))

    async def resume_stream(self, last: int) -> None:
        """Write an event stream that goes on after the last event id, up to ``last``."""
        await self.begin_stream()
        await self.send_events(int(self.header("last-event-id") or "0") + 1, last)
        await self.end_stream()

    async def end_stream(self) -> None:
        """Write the end of an event stream."""
        await self.send(b"0\r\n\r\n")


def reset(writer: asyncio.StreamWriter) -> None:
    """Reset a connection."""
    sock = writer.get_extra_info("socket")
    if sock is not None and not writer.transport.is_closing():
        # Without a linger time of 0, closing sends a regular end of the connection.
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


def encode_chunk(data: bytes) -> bytes:
    """Return bytes as a chunk of a body."""
    return b"%x\r\n%b\r\n" % (len(data), data)


def encode_event(number: int) -> bytes:
    """Return an event of a stream, with its number as id."""
    return b"id: %d\ndata: x%d\n\n" % (number, number)


def encode_events(first: int, last: int) -> bytes:
    """Return numbered events, ``last`` included."""
    return b"".join(encode_event(number) for number in range(first, last + 1))


class ScriptedServer:
    """Listens on a local port and runs a script for each request."""

    def __init__(self, script: Script) -> None:
        self.script = script
        self.received: list[ScriptedExchange] = []
        self.address = ""
        self.accepts = True
        """Whether new connections are kept; others are reset at once."""
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()
        self.address = f"{host}:{port}"

    def stop(self) -> None:
        """Stop listening."""
        if self._server is not None:
            self._server.close()

    def crash(self) -> None:
        """Stop listening and reset all connections, as when the process ends."""
        self.stop()
        for seen in self.received:
            seen.reset()

    async def end(self, *, listener_delay_s: float = 0.0) -> None:
        """Close all connections regularly and stop listening, as the kernel does for a process that
        was killed.

        :param listener_delay_s: Time until the listening socket closes as well.
        """
        ended, self._writers = self._writers, set()
        for writer in ended:
            writer.close()
        await asyncio.sleep(listener_delay_s)
        self.stop()
        # The kernel resets at once the connections that the process did not accept any more.
        for writer in self._writers:
            writer.get_extra_info("socket").shutdown(socket.SHUT_RDWR)
            reset(writer)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if not self.accepts:
            reset(writer)
            return
        self._writers.add(writer)
        try:
            while not writer.is_closing():
                head = await reader.readuntil(b"\r\n\r\n")
                exchange = ScriptedExchange("", head, b"", writer)
                exchange.request_id = exchange.header("x-request-id")
                length = int(exchange.header("content-length") or "0")
                exchange.body = await reader.readexactly(length)
                self.received.append(exchange)
                watcher = asyncio.create_task(self._watch_disconnect(reader, exchange))
                await self.script(exchange)
                watcher.cancel()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            # The router closed the connection, or the test has ended.
            pass
        finally:
            for seen in self.received:
                if seen.writer is writer:
                    seen.disconnected.set()
            self._writers.discard(writer)
            writer.close()

    async def _watch_disconnect(
        self, reader: asyncio.StreamReader, exchange: ScriptedExchange
    ) -> None:
        while not reader.at_eof() and reader.exception() is None:
            await asyncio.sleep(0.01)
        exchange.disconnected.set()
