"""What is held for one caller, in the budget of the process."""

from __future__ import annotations

from typing import TYPE_CHECKING

import structlog

if TYPE_CHECKING:
    from cornellead_core.buffers._buffer_budget import BufferBudget
    from cornellead_core.buffers._buffer_budget import BufferHolder
    from cornellead_core.buffers._buffer_budget import BufferOwner

FIELD_OVERHEAD_BYTES = 160
"""Memory that a header field takes besides its text: a tuple and two byte strings. Fields of a few
bytes take up to 40 times their text."""
COPIES_IN_PROGRESS = 2
"""Copies of a request in progress: its own, and what a server that reads slowly has not taken."""


class HeldBytes:
    """Records what is held for a caller."""

    def __init__(self, *, budget: BufferBudget) -> None:
        self._budget = budget
        self._pinned_bytes = 0

    def record(self, holder: BufferHolder, size: int, *, owner: BufferOwner) -> None:
        """Record the bytes that can be given up.

        :param holder: Gives way if all callers hold too much.
        """
        self._budget.record(holder, size, owner=owner)

    def try_begin(self, request_bytes: int) -> bool:
        """Count a request that begins, which is not given up; ``False`` if there is no room.

        :param request_bytes: Memory that its head and body take.
        """
        size = COPIES_IN_PROGRESS * request_bytes
        if not self._budget.try_pin(size):
            structlog.get_logger().warning("no room for a whole request", bytes=request_bytes)
            return False
        self._pinned_bytes = size
        return True

    def end(self) -> None:
        """Stop counting the request that has ended."""
        if self._pinned_bytes:
            self._budget.unpin(self._pinned_bytes)
            self._pinned_bytes = 0
