"""Tells the first server in a chat's order where the chat went."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from cornellead_core.wire import Hint

if TYPE_CHECKING:
    from cornellead_core.distribution import ControlRequester

MAX_HINTS_PER_S = 10
"""A hint and its answer take about 130 bytes, so hints stay under half of the 3 KB/s budget."""
MAX_PENDING = 20
"""Older hints are dropped: losing one costs cache reuse only."""


class HintSender:
    """Sends spill hints in the background, at a bounded rate."""

    name = "hint-sender"

    def __init__(self, *, client: ControlRequester) -> None:
        self._client = client
        self._pending: asyncio.Queue[tuple[str, Hint]] = asyncio.Queue(MAX_PENDING)
        self.sent = 0
        self.dropped = 0

    def offer(self, address: str, *, chat: int, server: str) -> None:
        """Queue a hint for the agent at a control address."""
        if self._pending.full():
            self._pending.get_nowait()
            self.dropped += 1
        self._pending.put_nowait((address, Hint(chat, server)))

    async def run(self) -> None:
        """Send hints until cancelled."""
        while True:
            address, hint = await self._pending.get()
            # A failure is not retried: hints are best-effort.
            await self._client.request(address, hint)
            self.sent += 1
            await asyncio.sleep(1 / MAX_HINTS_PER_S)
