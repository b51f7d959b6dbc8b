"""Requests in progress."""

from __future__ import annotations

import asyncio


class InProgress:
    """Knows the tasks that serve requests, to end them when a drain takes too long."""

    def __init__(self) -> None:
        self._tasks: set[asyncio.Task[object]] = set()
        self.expired = False
        """Whether the drain time is over; a cancelled request then reports an error."""

    def __len__(self) -> int:
        return len(self._tasks)

    def enter(self) -> None:
        """Add the calling task."""
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)

    def leave(self) -> None:
        """Remove the calling task."""
        task = asyncio.current_task()
        assert task is not None
        self._tasks.discard(task)

    def expire(self) -> int:
        """Make all requests in progress report an error.

        :returns: Number of requests that were still in progress.
        """
        self.expired = True
        for task in self._tasks:
            task.cancel()
        return len(self._tasks)
