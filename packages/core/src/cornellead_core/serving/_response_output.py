"""Output side of a caller's HTTP connection."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any
from typing import ClassVar
from typing import cast

import structlog
from uvicorn.protocols.http.flow_control import FlowControl
from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol

from cornellead_core.pacing import ArrivalTimer
from cornellead_core.pacing import PacedProtocol
from cornellead_core.pacing import UnreadWatch

if TYPE_CHECKING:
    import asyncio

    from cornellead_core.serving._http_serving import HttpServing


class ResponseOutput(PacedProtocol, HttpToolsProtocol):
    """Uvicorn's protocol, which knows what the caller has not read.

    :param serving: Bounds and counters of all connections of the process.
    :param options: What uvicorn passes to its protocol.
    """

    closes_with_peer: ClassVar[bool] = True

    def __init__(self, *, serving: HttpServing, **options: Any) -> None:
        PacedProtocol.__init__(self, pacer=serving.pacer)
        HttpToolsProtocol.__init__(self, **options)
        self._serving = serving
        self._closing = False
        self._watch: UnreadWatch | None = None
        """Set once something was unread."""

    @property
    def closing(self) -> bool:
        """Whether the connection is being closed."""
        return self._closing or self.transport.is_closing()

    @property
    def unread(self) -> bool:
        """Whether the caller leaves more unread than the high-water mark."""
        return self.flow.write_paused

    @property
    def unsent(self) -> bool:
        """Whether anything waits for the caller to read."""
        return self._unsent_bytes() > 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport; called by asyncio."""
        PacedProtocol.connection_made(self, transport)
        HttpToolsProtocol.connection_made(self, cast("asyncio.Transport", transport))
        # Uvicorn would otherwise resume a connection that waits for its turn.
        self.flow = FlowControl(cast("asyncio.Transport", self))

    def connection_lost(self, exc: Exception | None) -> None:
        """End the request that was parsed last; called by asyncio."""
        self._closing = True
        if self._watch is not None:
            self._watch.stop()
            # Breaks the reference cycle between the watch and this object.
            self._watch = None
        PacedProtocol.connection_lost(self, exc)
        HttpToolsProtocol.connection_lost(self, exc)

    def eof_received(self) -> None:
        """Let asyncio close the connection; called by asyncio."""
        HttpToolsProtocol.eof_received(self)

    def pause_writing(self) -> None:
        """Block responses, and close the connection if none is read in time; called by asyncio."""
        super().pause_writing()
        self._start_watch()

    def resume_writing(self) -> None:
        """Unblock responses; called by asyncio."""
        super().resume_writing()
        if self._watch is not None:
            self._watch.record_progress()
        self._record_held()

    def timeout_keep_alive_handler(self) -> None:
        """Close the idle connection, unless a request has arrived; called by uvicorn."""
        close = super().timeout_keep_alive_handler
        timer = ArrivalTimer(loop=self.loop, delay_s=0.0, action=close)
        self.timeout_keep_alive_task = cast("asyncio.TimerHandle", timer)

    def abort(self) -> None:
        """Reset the connection."""
        self._closing = True
        self.transport.abort()

    def _record_held(self) -> None:
        """Record in the budget of the process what is held for the caller."""
        raise NotImplementedError

    def _unsent_bytes(self) -> int:
        return self.transport.get_write_buffer_size()

    def _start_watch(self) -> None:
        if self._watch is None:
            self._watch = UnreadWatch(
                timeout_s=self._serving.unread_timeout_s,
                read_size=self._unsent_bytes,
                on_check=self._record_held,
                on_stalled=self._on_nothing_read,
            )
        self._watch.start()
        self._record_held()

    def _on_nothing_read(self) -> None:
        self._serving.unread_closed += 1
        structlog.get_logger().warning(
            "caller reads nothing, connection closed", unread_bytes=self._unsent_bytes()
        )
        self.abort()
