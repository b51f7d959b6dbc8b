"""Feed of cache events that are published after a lag and with gaps."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING
from typing import NamedTuple

if TYPE_CHECKING:
    from cornellead_standins.engine._prefix_cache import CacheChange


class CacheEvent(NamedTuple):
    """A numbered cache change that readers see from ``visible_at`` on."""

    seq: int
    kind: str
    key: str
    visible_at: float


class CacheFeed:
    """The latest cache events; sequence numbers start at 1, and a lost event leaves a gap.

    :param lag_s: Time between a change and its publication.
    :param max_events: Number of events kept; older ones are dropped.
    """

    def __init__(self, *, lag_s: float, max_events: int) -> None:
        self._lag_s = lag_s
        self._events: deque[CacheEvent] = deque(maxlen=max_events)
        self._last_seq = 0

    def publish(self, change: CacheChange, *, now: float, lost: bool = False) -> None:
        """Assign the next sequence number to a change and publish it unless it is lost."""
        self._last_seq += 1
        if not lost:
            self._events.append(
                CacheEvent(self._last_seq, change.kind, change.key, now + self._lag_s)
            )

    def read(self, *, from_seq: int, now: float) -> tuple[list[CacheEvent], int, int]:
        """Return the visible events from ``from_seq`` on.

        The other two items are the sequence number to read next and that of the oldest event kept.
        """
        events = [e for e in self._events if e.seq >= from_seq and e.visible_at <= now]
        next_seq = events[-1].seq + 1 if events else from_seq
        oldest_seq = self._events[0].seq if self._events else self._last_seq + 1
        return events, next_seq, oldest_seq
