"""Server side of an HTTP/1.1 connection whose reads are paced."""

from __future__ import annotations

import resource
from functools import partial
from typing import TYPE_CHECKING
from typing import Any
from typing import cast

import structlog
from uvicorn.protocols.http.flow_control import FlowControl
from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol

from cornellead_core.pacing import UNREAD_TIMEOUT_S
from cornellead_core.pacing import ArrivalTimer
from cornellead_core.pacing import PacedProtocol
from cornellead_core.pacing import UnreadWatch

if TYPE_CHECKING:
    import asyncio

    from cornellead_core.pacing import ReadPacer


CONNECTION_SHARE = 0.6
"""Fraction of the descriptors of a process for callers; servers and the platform have the rest."""


class PacedHttpProtocol(PacedProtocol, HttpToolsProtocol):
    """Uvicorn's protocol with small reads that wait when their connection has had its share.

    :param pacer: Shares the reads of a process among peers.
    :param max_connections: Number of open connections above which a new one is closed at once.
    :param unread_timeout_s: Time without a byte being read after which a caller with unread
        responses is closed. Uvicorn itself starts no request while 64 KB are unread.
    :param options: What uvicorn passes to its protocol.
    """

    def __init__(
        self,
        *,
        pacer: ReadPacer,
        max_connections: int,
        unread_timeout_s: float = UNREAD_TIMEOUT_S,
        **options: Any,
    ) -> None:
        PacedProtocol.__init__(self, pacer=pacer)
        HttpToolsProtocol.__init__(self, **options)
        self._max_connections = max_connections
        self._unread_timeout_s = unread_timeout_s
        self._watch: UnreadWatch | None = None

    @classmethod
    def paced_by(cls, pacer: ReadPacer) -> type[asyncio.Protocol]:
        """Return what uvicorn calls as the class of its protocol."""
        descriptors, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
        limit = int(CONNECTION_SHARE * descriptors)
        return cast("type[asyncio.Protocol]", partial(cls, pacer=pacer, max_connections=limit))

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport; called by asyncio."""
        PacedProtocol.connection_made(self, transport)
        HttpToolsProtocol.connection_made(self, cast("asyncio.Transport", transport))
        # Uvicorn would otherwise resume a connection that waits for its turn.
        self.flow = FlowControl(cast("asyncio.Transport", self))
        if len(self.connections) > self._max_connections:
            structlog.get_logger().warning(
                "all connections are in use", connections=self._max_connections
            )
            self.transport.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        """End the request that is in progress; called by asyncio."""
        if self._watch is not None:
            self._watch.stop()
            self._watch = None
        PacedProtocol.connection_lost(self, exc)
        HttpToolsProtocol.connection_lost(self, exc)

    def pause_writing(self) -> None:
        """Block responses, and close the connection if none is read in time; called by asyncio."""
        super().pause_writing()
        self._start_watch()

    def on_response_complete(self) -> None:
        """Go on with the next request; called by uvicorn.

        What is unread below the high-water mark would else keep a closed connection open for ever.
        """
        super().on_response_complete()
        if self.transport.get_write_buffer_size():
            self._start_watch()

    def _start_watch(self) -> None:
        if self._watch is None:
            self._watch = UnreadWatch(
                timeout_s=self._unread_timeout_s,
                read_size=self.transport.get_write_buffer_size,
                on_check=lambda: None,
                on_stalled=self._on_nothing_read,
            )
        self._watch.start()

    def resume_writing(self) -> None:
        """Unblock responses; called by asyncio."""
        super().resume_writing()
        if self._watch is not None:
            self._watch.record_progress()

    def eof_received(self) -> None:
        """Let asyncio close the connection; called by asyncio."""
        HttpToolsProtocol.eof_received(self)

    def timeout_keep_alive_handler(self) -> None:
        """Close the idle connection, unless a request has arrived; called by uvicorn."""
        close = super().timeout_keep_alive_handler
        timer = ArrivalTimer(loop=self.loop, delay_s=0.0, action=close)
        self.timeout_keep_alive_task = cast("asyncio.TimerHandle", timer)

    def consume(self, data: memoryview) -> None:
        """Parse received bytes."""
        self.data_received(cast("bytes", data))

    def _on_nothing_read(self) -> None:
        unread_bytes = self.transport.get_write_buffer_size()
        structlog.get_logger().warning(
            "caller reads nothing, connection closed", unread_bytes=unread_bytes
        )
        self.transport.abort()
