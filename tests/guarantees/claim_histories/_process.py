"""Pauses and kills of one simulated process."""

from __future__ import annotations

import asyncio


class Process:
    """Gate that every input and output of an agent passes.

    A paused process sees the results of its reads late and sends its writes late; a killed one
    neither sees nor sends anything again.
    """

    def __init__(self) -> None:
        self.alive = True
        self.cut_off = False
        """Whether the process cannot reach the log."""
        self._running = asyncio.Event()
        self._running.set()

    async def gate(self) -> None:
        """Wait while the process is paused, for ever once it is killed."""
        while not (self._running.is_set() and self.alive):
            if self.alive:
                await self._running.wait()
            else:
                await asyncio.get_running_loop().create_future()

    def pause(self) -> None:
        """Stop all progress."""
        self._running.clear()

    def resume(self) -> None:
        """Go on as if no time had passed."""
        self._running.set()

    def kill(self) -> None:
        """Stop for ever."""
        self.alive = False
        self._running.set()
