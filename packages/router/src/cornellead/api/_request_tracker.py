"""Tracking of the requests in progress."""

from __future__ import annotations

import asyncio


class RequestTracker:
    """Holds the task of every request in progress, so that a drain can cancel them at its end."""

    def __init__(self) -> None:
        self._tasks: set[asyncio.Task[object]] = set()
        self.drain_timed_out = False
        """Whether the drain timeout has passed; a cancelled request then sends an error."""

    def __len__(self) -> int:
        return len(self._tasks)

    def add_current_task(self) -> None:
        """Register the calling task as a request in progress."""
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)

    def remove_current_task(self) -> None:
        """Unregister the calling task; its request is complete."""
        task = asyncio.current_task()
        assert task is not None
        self._tasks.discard(task)

    def cancel_all(self) -> int:
        """Cancel all requests in progress because the drain timeout has passed.

        Each of them then sends an error to its caller.

        :returns: Number of requests that were still in progress.
        """
        self.drain_timed_out = True
        for task in self._tasks:
            task.cancel()
        return len(self._tasks)
