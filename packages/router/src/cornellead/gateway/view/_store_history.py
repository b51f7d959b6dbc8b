"""Eras of the store, which rise each time it comes back from an older copy."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cornellead_core.routing import UNKNOWN_ERA

if TYPE_CHECKING:
    from cornellead_core.routing import Topic


class StoreHistory:
    """The latest eras that this router has met.

    An answer that was delayed, or a router that has not noticed, may still be in an earlier one.

    >>> from cornellead_core.routing import Topic
    >>> history = StoreHistory()
    >>> [history.meet(Topic.SERVERS, era) for era in (1, 2, 1, -1)]
    [True, True, False, True]
    >>> history.latest(Topic.SERVERS), history.latest(Topic.ROUTERS)
    (2, -1)
    """

    def __init__(self) -> None:
        self._latest: dict[Topic, int] = {}
        self.restored = False
        """Whether the store came back from a copy while this router ran."""

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

    def meet(self, topic: Topic, era: int) -> bool:
        """Record the era of an answer, and return whether the answer may be used."""
        if era == UNKNOWN_ERA:
            return True
        if era < self.latest(topic):
            return False
        if UNKNOWN_ERA < self.era < era:
            self.restored = True
        self._latest[topic] = era
        return True
