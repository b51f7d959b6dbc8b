"""A server that answers a long upload before it has read it."""

from __future__ import annotations

import asyncio
import socket
import struct

UPLOAD = bytes(12 << 20)
"""More than the kernel holds of a request that is not read (at most 4 MB, and the receiver's)."""
SETTLE_S = 0.05
"""Time for a response to arrive before its connection ends."""
RECEIVE_BYTES = 32 << 10
ENDS = ("reset", "fin", "close", "fin_reset")


class EarlyServer:
    """Sends a response after the head of a request, and ends the connection without reading on.

    :param fields: Header lines of the response; none of them means that it has no length.
    :param end: ``reset``, ``fin`` (the connection is shut down for writing only), ``close`` (closed
        with unread data), ``fin_reset`` (both in turn) or ``stay`` (left open, nothing is read).
    """

    def __init__(self, *, body: bytes, end: str, fields: bytes = b"", status: bytes = b"200"):
        self.body = body
        self.end = end
        self.fields = fields
        self.status = status
        self.heads: list[bytes] = []
        self.address = ""
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Listen on a free port, with a small receive buffer."""
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BYTES)
        sock.bind(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{sock.getsockname()[1]}"
        self._server = await asyncio.start_server(self._serve, sock=sock, limit=4096)

    def stop(self) -> None:
        """Stop listening and close all connections."""
        if self._server is not None:
            self._server.close()
        for task in list(self._tasks):
            task.cancel()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        try:
            await self._respond(reader, writer)
        except (asyncio.IncompleteReadError, OSError, asyncio.CancelledError):
            # The client closed the connection, or the test has ended.
            pass
        finally:
            writer.transport.abort()

    async def _respond(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        head = await reader.readuntil(b"\r\n\r\n")
        writer.transport.pause_reading()  # type: ignore[attr-defined]
        self.heads.append(head)
        echo = b"".join(
            line + b"\r\n"
            for line in head.split(b"\r\n")[1:]
            if line.lower().startswith((b"x-request-id:", b"x-cl-request:"))
        )
        writer.write(
            b"HTTP/1.1 %b X\r\n%bX-Response-Seal: seal\r\n%b\r\n%b"
            % (self.status, echo, self.fields, self.body)
        )
        await writer.drain()
        await asyncio.sleep(SETTLE_S)
        sock = writer.get_extra_info("socket")
        if self.end == "stay":
            await asyncio.sleep(10.0)
        if self.end in ("fin", "fin_reset"):
            sock.shutdown(socket.SHUT_WR)
            await asyncio.sleep(1.0 if self.end == "fin" else SETTLE_S)
        if self.end in ("reset", "fin_reset"):
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
