"""Forwards the event stream of one response to the caller."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from litestar.types import Send

    from cornellead.relay._stream_cutter import StreamCutter
    from cornellead.upstream import Exchange


class StreamRelay:
    """Sends whole events to the caller until the response ends, moves or breaks.

    :param send: ASGI send of the caller's connection; it waits while the caller reads slowly, and
        then the exchange stops reading from the agent.
    """

    def __init__(self, *, send: Send, cutter: StreamCutter) -> None:
        self._send = send
        self._cutter = cutter
        self.bytes_sent = 0
        self.chunks = 0
        self.first_sent_at: float | None = None
        """Loop time at which the first event was handed to the caller's connection."""

    async def run(self, exchange: Exchange) -> None:
        """Forward events; the cutter then tells how the response ended."""
        cutter, send = self._cutter, self._send
        while True:
            data = await exchange.read()
            if not data:
                return
            out = cutter.feed(data)
            self.chunks += 1
            if cutter.stopped:
                if out:
                    await self._put(out, more=not cutter.ended)
                elif cutter.ended:
                    await self._put(b"", more=False)
                return
            if out:
                self.bytes_sent += len(out)
                await send({"type": "http.response.body", "body": out, "more_body": True})
                if self.first_sent_at is None:
                    self.first_sent_at = asyncio.get_running_loop().time()

    async def _put(self, data: bytes, *, more: bool) -> None:
        self.bytes_sent += len(data)
        await self._send({"type": "http.response.body", "body": data, "more_body": more})
