"""Eras of the store, which rise each time it comes back from an older copy."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from cornellead_core.routing import UNKNOWN_ERA

if TYPE_CHECKING:
    from cornellead_core.routing import Topic

SETTLE_S = 10.0
"""Time after the store came back from a copy for which what was known before counts besides what
the copy holds. Copies are some seconds old, and operators and servers write what was lost again
within seconds."""


class StoreHistory:
    """The latest eras that this router has met.

    An answer that was delayed, or a router that has not noticed, may still be in an earlier one.

    >>> from cornellead_core.routing import Topic
    >>> history = StoreHistory()
    >>> [history.meet(Topic.SERVERS, era, now=0.0) for era in (1, 2, 1, -1)]
    [True, True, False, True]
    >>> history.latest(Topic.SERVERS), history.latest(Topic.ROUTERS)
    (2, -1)
    """

    def __init__(self) -> None:
        self._latest: dict[Topic, int] = {}
        self._settled: set[Topic] = set()
        self._restored = asyncio.Event()
        self.restored_at: float | None = None
        """When this router first met the latest era, in seconds; ``None`` if there was one only."""

    @property
    def era(self) -> int:
        """Latest era met in any topic; unknown if none was named."""
        return max(self._latest.values(), default=UNKNOWN_ERA)

    def latest(self, topic: Topic) -> int:
        """Return the latest era met in a topic.

        Each topic has its own: routers that read them from another router would all turn to the
        store if they refused its topics that it has not read again yet.
        """
        return self._latest.get(topic, UNKNOWN_ERA)

    def settling(self, *, now: float) -> bool:
        """Return whether the store may still lack what was written before it was restored."""
        return self.restored_at is not None and now - self.restored_at < SETTLE_S

    async def wait_restored(self, *, timeout_s: float) -> bool:
        """Wait until the era rises; return whether it did so within the timeout in seconds."""
        try:
            await asyncio.wait_for(self._restored.wait(), timeout_s)
        except TimeoutError:
            return False
        return True

    def take_settled(self, topic: Topic, *, now: float) -> bool:
        """Return once for each topic after each restore that the store has settled.

        What was taken for older than the copy may have been right; the newest records tell.
        """
        if self.restored_at is None or topic in self._settled or self.settling(now=now):
            return False
        self._settled.add(topic)
        return True

    def meet(self, topic: Topic, era: int, *, now: float) -> bool:
        """Record the era of an answer, and return whether the answer may be used."""
        if era == UNKNOWN_ERA:
            return True
        if era < self.latest(topic):
            return False
        if UNKNOWN_ERA < self.era < era:
            self.restored_at = now
            self._settled.clear()
            self._restored.set()
            self._restored = asyncio.Event()
        self._latest[topic] = era
        return True
