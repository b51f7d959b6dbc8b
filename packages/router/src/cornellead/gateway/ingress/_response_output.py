"""Output side of a caller's connection."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING
from typing import ClassVar

from cornellead.gateway.ingress._response_writer import LAST_CHUNK
from cornellead.gateway.ingress._response_writer import encode_chunk
from cornellead_core.pacing import PacedProtocol
from cornellead_core.pacing import UnreadWatch

if TYPE_CHECKING:
    from collections.abc import Callable

    from cornellead_core.pacing import ReadPacer


class ResponseOutput(PacedProtocol):
    """Writes to the transport, and knows what the caller has not read.

    :param pacer: Shares the reads of the process among peers.
    :param unread_timeout_s: Time without a byte being read after which responses are given up.
    """

    closes_with_peer: ClassVar[bool] = True

    def __init__(self, *, pacer: ReadPacer, unread_timeout_s: float) -> None:
        super().__init__(pacer=pacer)
        self._unread_timeout_s = unread_timeout_s
        self._watch: UnreadWatch | None = None
        """Set once something was unread."""
        self._writable = asyncio.Event()
        self._writable.set()
        self._closing = False
        self._response_complete = False
        self._head_only = False
        """Whether the request asks for the head of a response only."""
        self.started = False

    @property
    def closing(self) -> bool:
        """Whether the connection is being closed."""
        return self._closing

    @property
    def unread(self) -> bool:
        """Whether the caller leaves more unread than the high-water mark."""
        return not self._writable.is_set()

    @property
    def unsent(self) -> bool:
        """Whether anything waits for the caller to read; false after a reset."""
        return self._unsent_bytes() > 0

    async def write(self, data: bytes) -> None:
        """Write a chunk of the body; waits while the caller reads slowly."""
        if not self._head_only:
            self._write(encode_chunk(data))
        if not self._writable.is_set():
            await self._writable.wait()

    def end(self) -> None:
        """Complete a chunked response."""
        self._response_complete = True
        if not self._head_only:
            self._write(LAST_CHUNK)

    def abort(self) -> None:
        """Reset the connection, so that a partial response does not look complete."""
        self._closing = True
        if self._transport is not None:
            self._transport.abort()

    def _start_watch(self, *, on_check: Callable[[], None], on_stalled: Callable[[], None]) -> None:
        if self._watch is None:
            self._watch = UnreadWatch(
                timeout_s=self._unread_timeout_s,
                read_size=self._unsent_bytes,
                on_check=on_check,
                on_stalled=on_stalled,
            )
        self._watch.start()

    def _stop_watch(self) -> None:
        if self._watch is not None:
            self._watch.stop()
            # Breaks the reference cycle between the watch and this object.
            self._watch = None

    def _unsent_bytes(self) -> int:
        return 0 if self._transport is None else self._transport.get_write_buffer_size()

    def _write(self, data: bytes) -> None:
        if self._transport is not None and not self._transport.is_closing():
            self._transport.write(data)
