"""Simulated process that can be paused, killed or disconnected from the log."""

from __future__ import annotations

import asyncio


class Process:
    """Run state of an agent process, checked before every input and output of the agent.

    While the process is paused, its reads and writes are delayed. After it is killed, they never
    complete.
    """

    def __init__(self) -> None:
        self.alive = True
        self.cut_off = False
        """Whether the log is unreachable from the process."""
        self._running = asyncio.Event()
        self._running.set()

    async def wait_until_running(self) -> None:
        """Wait while the process is paused, or forever if it is killed."""
        while not (self._running.is_set() and self.alive):
            if self.alive:
                await self._running.wait()
            else:
                await asyncio.get_running_loop().create_future()

    def pause(self) -> None:
        """Block all inputs and outputs until `resume`."""
        self._running.clear()

    def resume(self) -> None:
        """Unblock the inputs and outputs of a paused process."""
        self._running.set()

    def kill(self) -> None:
        """Block all inputs and outputs permanently."""
        self.alive = False
        self._running.set()
