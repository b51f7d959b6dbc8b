"""Server side of an HTTP/1.1 connection whose reads are paced."""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING
from typing import Any
from typing import cast

from uvicorn.protocols.http.flow_control import FlowControl
from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol

from cornellead_core.pacing import ArrivalTimer
from cornellead_core.pacing import PacedProtocol

if TYPE_CHECKING:
    import asyncio

    from cornellead_core.pacing import ReadPacer


class PacedHttpProtocol(PacedProtocol, HttpToolsProtocol):
    """Uvicorn's protocol with small reads that wait when their connection has had its share.

    :param pacer: Shares the reads of a process among peers.
    :param options: What uvicorn passes to its protocol.
    """

    def __init__(self, *, pacer: ReadPacer, **options: Any) -> None:
        PacedProtocol.__init__(self, pacer=pacer)
        HttpToolsProtocol.__init__(self, **options)

    @classmethod
    def paced_by(cls, pacer: ReadPacer) -> type[asyncio.Protocol]:
        """Return what uvicorn calls as the class of its protocol."""
        return cast("type[asyncio.Protocol]", partial(cls, pacer=pacer))

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport; called by asyncio."""
        PacedProtocol.connection_made(self, transport)
        HttpToolsProtocol.connection_made(self, cast("asyncio.Transport", transport))
        # Uvicorn would otherwise resume a connection that waits for its turn.
        self.flow = FlowControl(cast("asyncio.Transport", self))

    def connection_lost(self, exc: Exception | None) -> None:
        """End the request that is in progress; called by asyncio."""
        PacedProtocol.connection_lost(self, exc)
        HttpToolsProtocol.connection_lost(self, exc)

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
