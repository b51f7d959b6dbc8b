"""ASGI sends that start without a task switch."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Generator


class EagerSend:
    """Awaitable that is started eagerly in a callback and, if it blocks, completed in a task.

    An ASGI send usually completes at once; it only blocks while the peer reads slowly. Starting it
    in the callback that received the bytes saves a task switch for each chunk.
    """

    def __init__(self, awaitable: Awaitable[None]) -> None:
        self._coro = awaitable.__await__()
        self._pending: Any = None

    def start(self) -> bool:
        """Run the awaitable until it completes or blocks.

        :returns: Whether it completed; otherwise this object must be awaited.
        """
        try:
            self._pending = self._coro.send(None)
        except StopIteration:
            return True
        return False

    def __await__(self) -> Generator[Any, Any, None]:
        """Complete the started awaitable in the current task."""
        pending = self._pending
        while True:
            try:
                yield pending
            except BaseException as exc:
                try:
                    pending = self._coro.throw(exc)
                except StopIteration:
                    return
                continue
            try:
                pending = self._coro.send(None)
            except StopIteration:
                return
