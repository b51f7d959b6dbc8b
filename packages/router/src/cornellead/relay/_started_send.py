"""Calls of ASGI send that start without a task switch."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Generator


class StartedSend:
    """A coroutine that was started outside its task and finishes inside it.

    An ASGI send completes at once unless the peer reads slowly. Running it where the bytes arrive
    saves a task switch for each chunk.
    """

    def __init__(self, awaitable: Awaitable[None]) -> None:
        self._coro = awaitable.__await__()
        self._pending: Any = None

    def start(self) -> bool:
        """Run until the coroutine has to wait.

        :returns: Whether it completed; otherwise await this object.
        """
        try:
            self._pending = self._coro.send(None)
        except StopIteration:
            return True
        return False

    def __await__(self) -> Generator[Any, Any, None]:
        """Finish the coroutine in the awaiting task."""
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
