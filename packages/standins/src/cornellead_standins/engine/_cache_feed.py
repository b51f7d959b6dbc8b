"""Cache events, published late and with gaps."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING
from typing import NamedTuple

if TYPE_CHECKING:
    from cornellead_standins.engine._prefix_cache import CacheChange


class CacheEvent(NamedTuple):
    """A cache event with its number and the time from which readers see it."""

    seq: int
    kind: str
    key: str
    visible_at: float


class CacheFeed:
    """The last cache events; sequence numbers start at 1 and skip lost events.

    :param lag_s: Time between a change and its publication.
    """

    def __init__(self, *, lag_s: float, kept: int) -> None:
        self._lag_s = lag_s
        self._events: deque[CacheEvent] = deque(maxlen=kept)
        self._last_seq = 0

    def publish(self, change: CacheChange, *, now: float, lost: bool = False) -> None:
        """Number a change; a lost one leaves a gap."""
        self._last_seq += 1
        if not lost:
            self._events.append(
                CacheEvent(self._last_seq, change.kind, change.key, now + self._lag_s)
            )

    def read(self, *, from_seq: int, now: float) -> tuple[list[CacheEvent], int, int]:
        """Return events from a number on, the number to read next, and the oldest kept."""
        events = [e for e in self._events if e.seq >= from_seq and e.visible_at <= now]
        following = events[-1].seq + 1 if events else from_seq
        oldest = self._events[0].seq if self._events else self._last_seq + 1
        return events, following, oldest
