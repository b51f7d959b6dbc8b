"""Patience of a stream that was refused after it had left its server."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from cornellead.gateway.forwarding._search_timing import REFUSAL_MEMORY_S
from cornellead.gateway.forwarding._search_timing import SEARCH_INTERVAL_S

if TYPE_CHECKING:
    from collections.abc import Callable

    from cornellead.gateway.forwarding._request_context import RequestContext

STREAM_PATIENCE_S = 2.5
"""Time from the first refusal for which a stream looks for a server: callers disconnect four
seconds after the last event, and a stalled stream moves after 1.5 s."""


class RefusedStream:
    """Keeps a stream that has begun alive while servers refuse it.

    A server that refuses late does so when the stalled attempt has been given up. The stream cannot
    be refused any more, only cut, so it is worth another look, also at its own server.
    """

    def __init__(self, *, context: RequestContext, clock: Callable[[], float]) -> None:
        self._context = context
        self._clock = clock
        self._refused_at: dict[str, float] = {}
        self._give_up_at: float | None = None

    def record_refusal(self, server: str) -> None:
        """Record that a server did not run the request."""
        if not self._context.out.started:
            return
        now = self._clock()
        self._refused_at[server] = now
        if self._give_up_at is None:
            self._give_up_at = now + STREAM_PATIENCE_S

    def record_taken(self) -> None:
        """Record that a server took the request, whatever became of it then."""
        self._give_up_at = None

    def excluded(self) -> set[str]:
        """Return the servers that refused the stream so recently that they are not asked again."""
        now = self._clock()
        return {server for server, at in self._refused_at.items() if now - at < REFUSAL_MEMORY_S}

    async def wait(self) -> bool:
        """Wait until it is worth looking for a server again; ``False`` if it is not."""
        if self._give_up_at is None or self._clock() >= self._give_up_at:
            return False
        self._context.trace.add_note_once("waited_after_refusal")
        await asyncio.sleep(SEARCH_INTERVAL_S)
        return True
