"""Sends hints that name the server with a chat's cache to the chat's preferred server."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from cornellead_core.wire import CacheHint

if TYPE_CHECKING:
    from cornellead_core.distribution import ControlRequester

MAX_HINTS_PER_S = 10
"""A hint and its reply take about 130 bytes, so hints use less than half of the control traffic
budget of 3 KB/s."""
MAX_QUEUED_HINTS = 20
"""When the queue is full, the oldest hint is dropped. The only cost is a cache miss."""


class HintSender:
    """Sends hints in the background, at a limited rate.

    A hint is sent when a chat spills over, that is, when it is placed on another server than the
    first one in its preference order.
    """

    name = "hint-sender"

    def __init__(self, *, client: ControlRequester) -> None:
        self._client = client
        self._queue: asyncio.Queue[tuple[str, CacheHint]] = asyncio.Queue(MAX_QUEUED_HINTS)
        self.sent = 0
        self.dropped = 0

    def enqueue(self, address: str, *, chat: int, server: str) -> None:
        """Queue a hint for sending.

        :param address: Control address of the agent that receives the hint.
        :param chat: Hash that identifies the chat.
        :param server: Server on which the chat was placed.
        """
        if self._queue.full():
            self._queue.get_nowait()
            self.dropped += 1
        self._queue.put_nowait((address, CacheHint(chat, server)))

    async def run(self) -> None:
        """Send queued hints until cancelled."""
        while True:
            address, hint = await self._queue.get()
            # Hints are best-effort, so failures are not retried.
            await self._client.request(address, hint)
            self.sent += 1
            await asyncio.sleep(1 / MAX_HINTS_PER_S)
