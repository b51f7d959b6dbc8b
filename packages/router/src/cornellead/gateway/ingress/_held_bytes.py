"""What is held for one caller, in the budget of the process."""

from __future__ import annotations

from typing import TYPE_CHECKING

import structlog

if TYPE_CHECKING:
    from cornellead.gateway.ingress._caller_request import CallerRequest
    from cornellead_core.buffers import BufferBudget
    from cornellead_core.buffers import BufferHolder
    from cornellead_core.buffers import BufferOwner

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

    def try_begin(self, req: CallerRequest) -> bool:
        """Count a request that begins, which is not given up; ``False`` if there is no room."""
        size = COPIES_IN_PROGRESS * req.held_bytes
        if not self._budget.try_pin(size):
            structlog.get_logger().warning("no room for a whole request", bytes=req.held_bytes)
            return False
        self._pinned_bytes = size
        return True

    def end(self) -> None:
        """Stop counting the request that has ended."""
        if self._pinned_bytes:
            self._budget.unpin(self._pinned_bytes)
            self._pinned_bytes = 0
