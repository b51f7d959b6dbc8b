"""Cancellation of tasks that wait for pynng operations."""

from __future__ import annotations

import asyncio


def raise_if_cancelled() -> None:
    """Raise the cancellation of the current task that pynng has swallowed, if any.

    A pynng operation that completes while its task is being cancelled returns its result and
    swallows the cancellation. Without this check the task would never end.

    :raises asyncio.CancelledError: if cancellation of the current task was requested.
    """
    task = asyncio.current_task()
    if task is not None and task.cancelling():
        raise asyncio.CancelledError
