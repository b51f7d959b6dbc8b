"""Cancellation of tasks that wait for the transport."""

from __future__ import annotations

import asyncio


def raise_if_cancelled() -> None:
    """Raise the cancellation that the transport library swallowed, if any.

    An operation that completes while its task is being cancelled returns its result instead, and
    the task would never end.

    :raises asyncio.CancelledError: when the present task was asked to stop.
    """
    task = asyncio.current_task()
    if task is not None and task.cancelling():
        raise asyncio.CancelledError
