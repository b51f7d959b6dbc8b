"""Eras of the store, which rise each time it comes back from an older copy."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from cornellead_core.routing import UNKNOWN_ERA

if TYPE_CHECKING:
    from cornellead_core.routing import Topic

FALLEN_ERA_S = 3.6
"""Time after which a store that keeps naming a lower era counts as one with a new history: longer
than an answer can be delayed, that is, twice the long poll of 1.0 s and the call timeout of
0.8 s."""
SETTLE_S = 10.0
"""Time after the store came back from a copy for which what was known before counts besides what
the copy holds. Copies are some seconds old, and operators and servers write what was lost again
within seconds."""

MAX_BEHIND_S = 60.0
"""Maximum time after a restore for which an operators' topic without the configuration in force
counts as one that lacks other changes too. Operators write again within seconds; after a minute
nobody is about to, and a data centre that is not listed may be needed."""


class StoreHistory:
    """The latest eras that this router has met.

    An answer that was delayed, or a router that has not noticed, may still be in an earlier one.
    What another router names counts until the store itself names an era.

    >>> from cornellead_core.routing import Topic
    >>> history = StoreHistory()
    >>> [history.meet(Topic.SERVERS, era, now=0.0) for era in (1, 2, 1, -1)]
    [True, True, False, True]
    >>> history.latest(Topic.SERVERS), history.latest(Topic.ROUTERS)
    (2, -1)
    >>> history.meet(Topic.SERVERS, 1, now=FALLEN_ERA_S)
    True
    """

    def __init__(self) -> None:
        self._named: dict[Topic, int] = {}
        """Latest era that the store named."""
        self._hinted: dict[Topic, int] = {}
        """Later era that another router named and the store has not confirmed."""
        self._lower_since: dict[Topic, float] = {}
        """Time since which the store names lower eras only."""
        self._restored_at: dict[Topic, float] = {}
        self._settled: set[Topic] = set()
        self._newest = UNKNOWN_ERA
        self._store_names_eras = False
        self._restored = asyncio.Event()
        self.restores = 0
        """Restores of the store that this router has met."""

    @property
    def era(self) -> int:
        """Latest era met in any topic; unknown if none was named."""
        return max(map(self.latest, (*self._named, *self._hinted)), default=UNKNOWN_ERA)

    @property
    def restored(self) -> bool:
        """Whether this router has met more than one era."""
        return bool(self._restored_at)

    def latest(self, topic: Topic) -> int:
        """Return the latest era met in a topic.

        Each topic has its own: routers that read them from another router would all turn to the
        store if they refused its topics that it has not read again yet.
        """
        return self._hinted.get(topic, self._named.get(topic, UNKNOWN_ERA))

    def restored_at(self, topic: Topic) -> float | None:
        """Return when another era was first met in a topic, in seconds; ``None`` if there was one
        only."""
        return self._restored_at.get(topic)

    def settling(self, topic: Topic, *, now: float, within_s: float = SETTLE_S) -> bool:
        """Return whether the store may still lack what was written before it was restored.

        The time runs for each topic on its own, since a topic may be read again long after another.
        """
        restored_at = self._restored_at.get(topic)
        return restored_at is not None and now - restored_at < within_s

    async def wait_restored(self, *, after: int, timeout_s: float) -> bool:
        """Wait for more restores than a count; return whether there are before the timeout in
        seconds."""
        if self.restores > after:
            return True
        try:
            async with asyncio.timeout(timeout_s):
                await self._restored.wait()
        except TimeoutError:
            return False
        return True

    def take_settled(self, topic: Topic, *, now: float) -> bool:
        """Return once for each topic after each restore that the store has settled.

        What was taken for older than the copy may have been right; the newest records tell.
        """
        if topic not in self._restored_at or topic in self._settled:
            return False
        if self.settling(topic, now=now):
            return False
        self._settled.add(topic)
        return True

    def adopt_restore(self, topic: Topic, *, restored_at: float) -> None:
        """Record a restore that another router met before this one started, in seconds."""
        self._restored_at.setdefault(topic, restored_at)

    def mark_named(self) -> None:
        """Record that an answer of the store named an era, also one that is of no topic."""
        self._store_names_eras = True

    def meet(self, topic: Topic, era: int, *, now: float) -> bool:
        """Record the era of an answer of the store, and return whether the answer may be used."""
        if era == UNKNOWN_ERA:
            return True
        if era < self._named.get(topic, UNKNOWN_ERA):
            lower_since = self._lower_since.setdefault(topic, now)
            if now - lower_since < FALLEN_ERA_S:
                return False
        self.mark_named()
        before = self.latest(topic)
        self._lower_since.pop(topic, None)
        self._hinted.pop(topic, None)
        self._named[topic] = era
        self._record_change(topic, before, era, now=now)
        return True

    def meet_at_router(self, topic: Topic, era: int, *, now: float, as_reader: bool) -> bool:
        """Record the era of another router's page, and return whether the page may be used.

        A router of an earlier build names none, and may follow a history that was lost. One that
        is relied on to read the store would hide for good that it came back from a copy.

        :param as_reader: Whether this router relies on the other one to read the store.
        """
        if era == UNKNOWN_ERA:
            return not (self.restored or (as_reader and self._store_names_eras))
        before = self.latest(topic)
        if era > before:
            self._hinted[topic] = era
            self._record_change(topic, before, era, now=now)
        return era >= before

    def _record_change(self, topic: Topic, before: int, era: int, *, now: float) -> None:
        if era == before:
            return
        if before != UNKNOWN_ERA or self.restored:
            self._restored_at[topic] = now
            self._settled.discard(topic)
        if self._newest == UNKNOWN_ERA:
            self._newest = era
        elif era > self._newest or (before != UNKNOWN_ERA and era != self._newest):
            self._newest = era
            self.restores += 1
            self._restored.set()
            self._restored = asyncio.Event()
