"""In-memory store of facts with change notification."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING
from typing import Any
from typing import TypeVar

if TYPE_CHECKING:
    from cornellead_core.blackboard._fact import Fact

T = TypeVar("T")


class Blackboard:
    """Holds the facts of one process; must be used from a single event loop.

    >>> from cornellead_core.blackboard import Fact
    >>> ready = Fact(name="ready", default=False)
    >>> board = Blackboard()
    >>> board.read(ready)
    False
    >>> board.write(ready, True)
    >>> board.read(ready), board.revision(ready)
    (True, 1)
    """

    def __init__(self) -> None:
        self._values: dict[str, Any] = {}
        self._revisions: dict[str, int] = {}
        self._waiters: dict[str, list[asyncio.Future[None]]] = {}

    def read(self, fact: Fact[T]) -> T:
        """Return the value of a fact, or its default if it was never written."""
        value: T = self._values.get(fact.name, fact.default)
        return value

    def write(self, fact: Fact[T], value: T) -> None:
        """Set the value of a fact and wake all tasks that wait for its change."""
        self._values[fact.name] = value
        self._revisions[fact.name] = self.revision(fact) + 1
        for fut in self._waiters.pop(fact.name, ()):
            if not fut.done():
                fut.set_result(None)

    def revision(self, fact: Fact[Any]) -> int:
        """Return the number of writes of a fact so far."""
        return self._revisions.get(fact.name, 0)

    async def wait_change(self, fact: Fact[Any], *, revision: int, timeout_s: float) -> bool:
        """Wait until a fact has a revision above the given one.

        Returns at once if it already has, so that no write between reading the revision and waiting
        is lost.

        :param timeout_s: Maximum wait, in seconds.
        :returns: Whether the fact was written before the timeout.
        """
        if self.revision(fact) > revision:
            return True
        fut = asyncio.get_running_loop().create_future()
        self._waiters.setdefault(fact.name, []).append(fut)
        try:
            await asyncio.wait_for(fut, timeout_s)
        except TimeoutError:
            return False
        return True
