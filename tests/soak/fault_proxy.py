"""TCP proxy that injects network faults into the connections it forwards."""

from __future__ import annotations

import asyncio
import socket
import struct
import time
from enum import StrEnum


class Fault(StrEnum):
    """Fault that the proxy injects into all of its connections."""

    NONE = "none"
    DELAY = "delay"
    """Delays each chunk of data by `DELAY_S`, in both directions."""
    RESET = "reset"
    """Resets open connections and every new one."""
    SILENT = "silent"
    """Forwards no data and keeps connections open."""
    ONE_WAY = "one_way"
    """Forwards requests, but holds back responses."""


DELAY_S = 0.15
POLL_S = 0.02
READ_BYTES = 16 << 10


class FaultProxy:
    """Forwards connections to one address and injects one fault at a time.

    :param address: ``ip:port`` to listen on.
    :param target: ``ip:port`` to connect to.
    """

    def __init__(self, *, address: str, target: str) -> None:
        self.address = address
        self._target = target
        self.fault = Fault.NONE
        self.bytes_per_s: float | None = None
        """Rate of responses; unlimited if ``None``."""
        self._paused = False
        self.paused_at = 0.0
        """Time in monotonic seconds at which a pause last began or ended."""
        self._writers: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None

    @property
    def paused(self) -> bool:
        """Whether the target falls silent for now, whatever the fault is."""
        return self._paused

    @paused.setter
    def paused(self, paused: bool) -> None:
        self._paused = paused
        self.paused_at = time.monotonic()

    async def start(self) -> None:
        """Start to listen.

        :raises OSError: The address cannot be used.
        """
        host, _, port = self.address.rpartition(":")
        self._server = await asyncio.start_server(self._accept, host, int(port))

    def stop(self) -> None:
        """Stop listening and reset all connections."""
        if self._server is not None:
            self._server.close()
        self._reset_connections()

    def kill(self) -> None:
        """Stop listening and end all connections regularly, as the kernel does for a process that
        is killed."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.close()

    def set_fault(self, fault: Fault) -> None:
        """Set the fault; it applies to open connections too."""
        self.fault = fault
        if fault is Fault.RESET:
            self._reset_connections()

    def _reset_connections(self) -> None:
        for writer in list(self._writers):
            _reset(writer)

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self.fault is Fault.RESET:
            _reset(writer)
            return
        host, _, port = self._target.rpartition(":")
        try:
            target_reader, target_writer = await asyncio.open_connection(host, int(port))
        except OSError:
            _reset(writer)
            return
        self._writers |= {writer, target_writer}
        try:
            await asyncio.gather(
                self._forward(reader, target_writer, responses=False),
                self._forward(target_reader, writer, responses=True),
            )
        except asyncio.CancelledError:
            # The event loop closes at the end of the test and cancels its tasks.
            pass
        finally:
            self._writers -= {writer, target_writer}
            _reset(writer)
            _reset(target_writer)

    async def _forward(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, *, responses: bool
    ) -> None:
        try:
            while data := await reader.read(READ_BYTES):
                if self.fault is Fault.DELAY:
                    await asyncio.sleep(DELAY_S)
                while self._holds_back(responses=responses):
                    await asyncio.sleep(POLL_S)
                if responses and self.bytes_per_s is not None:
                    await asyncio.sleep(len(data) / self.bytes_per_s)
                writer.write(data)
                await writer.drain()
        except (ConnectionError, OSError):
            _reset(writer)
            return
        if not writer.is_closing():
            writer.close()

    def _holds_back(self, *, responses: bool) -> bool:
        if self._paused or self.fault is Fault.SILENT:
            return True
        return responses and self.fault is Fault.ONE_WAY


def _reset(writer: asyncio.StreamWriter) -> None:
    """Reset a connection unless it is closed."""
    sock = writer.get_extra_info("socket")
    if sock is not None and not writer.transport.is_closing():
        # Without a linger time of 0, closing sends a regular end, which completes a response that
        # has no length.
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()
