"""Protocol whose reads are paced."""

from __future__ import annotations

import asyncio
import fcntl
import struct
import termios
from typing import TYPE_CHECKING
from typing import ClassVar

from cornellead_core.pacing._close_watch import CloseWatch
from cornellead_core.pacing._read_pacer import SLICE_BYTES

if TYPE_CHECKING:
    from collections.abc import Hashable

    from cornellead_core.pacing._read_pacer import ReadPacer

_read_buffer = memoryview(bytearray(SLICE_BYTES))
"""Receive buffer of all connections; sharing is safe because each read is consumed before the next
one starts. Without it, asyncio allocates 256 KiB for each read and shrinks them to the bytes that
arrived, which fragments the heap.
"""


class PacedProtocol(asyncio.BufferedProtocol):
    """Reads small slices, and waits when its peer has had its share of a turn.

    :param pacer: Shares the turns of the event loop.
    :param peer: Whose share the reads use, such as the address of a server, whose connections then
        share it; ``None`` for a connection with a share of its own, such as one of a caller.
    """

    closes_with_peer: ClassVar[bool] = False
    """Whether the connection closes once its peer has, also while nothing is read: set for callers,
    whose unread bytes are worth nothing then."""

    def __init__(self, *, pacer: ReadPacer, peer: Hashable | None = None) -> None:
        self._pacer = pacer
        self._peer: Hashable = id(self) if peer is None else peer
        self._transport: asyncio.Transport | None = None
        self._paused = False
        self._throttled = False
        self._watched_descriptor = -1

    def consume(self, data: memoryview) -> None:
        """Handle received bytes, which are valid during the call only."""
        raise NotImplementedError

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport; called by asyncio."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport

    def connection_lost(self, exc: Exception | None) -> None:
        """Wait for no turn any more; called by asyncio."""
        del exc
        self._unwatch_close()
        self._pacer.forget(self, self._peer)

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer for the next read; called by asyncio."""
        del sizehint
        size = self._pacer.read_size
        return _read_buffer if size == SLICE_BYTES else _read_buffer[:size]

    def buffer_updated(self, nbytes: int) -> None:
        """Consume and count what was read; called by asyncio."""
        self.consume(_read_buffer[:nbytes])
        self._pacer.charge(self, self._peer, nbytes)

    def pause_reading(self) -> None:
        """Read nothing more until `resume_reading`."""
        self._paused = True
        self._update_reading()

    def resume_reading(self) -> None:
        """Read on, once the peer has its turn."""
        self._paused = False
        self._update_reading()

    def unacknowledged_bytes(self) -> int:
        """Return how much of what was written the peer's host has not confirmed.

        A peer that has received a whole request has confirmed it at the latest with its response,
        since each segment carries an acknowledgement.
        """
        if self._transport is None:
            return 0
        unwritten = self.unwritten_bytes()
        sock = self._transport.get_extra_info("socket")
        if unwritten or sock is None or sock.fileno() < 0:
            return unwritten
        try:
            (queued,) = struct.unpack("i", fcntl.ioctl(sock, termios.TIOCOUTQ, bytes(4)))
        except OSError:
            # Sockets that are not TCP may not support the call.
            return 0
        return int(queued)

    def unwritten_bytes(self) -> int:
        """Return how much of what was written the kernel has not taken yet."""
        return 0 if self._transport is None else self._transport.get_write_buffer_size()

    def set_throttled(self, throttled: bool) -> None:
        """Wait for a turn, or read on; called by the pacer."""
        self._throttled = throttled
        self._update_reading()

    def _update_reading(self) -> None:
        if self._transport is None:
            return
        if self._may_read():
            self._unwatch_close()
            self._transport.resume_reading()
        else:
            self._transport.pause_reading()
            self._watch_close()

    def _may_read(self) -> bool:
        return not (self._paused or self._throttled)

    def _watch_close(self) -> None:
        if not self.closes_with_peer or self._transport is None or self._transport.is_closing():
            return
        sock = self._transport.get_extra_info("socket")
        if self._watched_descriptor >= 0 or sock is None or sock.fileno() < 0:
            return
        self._watched_descriptor = sock.fileno()
        CloseWatch.of_running_loop().add(self._watched_descriptor, self._on_peer_closed)

    def _unwatch_close(self) -> None:
        if self._watched_descriptor >= 0:
            CloseWatch.of_running_loop().remove(self._watched_descriptor)
            self._watched_descriptor = -1

    def _on_peer_closed(self, reset: bool) -> None:
        """Do what asyncio does when it reads the end of the stream, or an error."""
        if self._transport is None:
            return
        if reset:
            self._transport.abort()
        else:
            self._transport.close()
