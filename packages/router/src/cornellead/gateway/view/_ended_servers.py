"""Incarnations of servers that are listed no longer."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple

from cornellead.gateway.view._server_state import ServerState

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Iterator

    from cornellead_core.routing import EntryCount
    from cornellead_core.routing import ServerEntry

RETENTION_S = 600.0
"""Time for which an incarnation is remembered: twice the longest pause that a server may ask for,
longer than a copy of the store is old and than a write may be late."""


class _Ended(NamedTuple):
    at: float
    state: ServerState


class _Counted(NamedTuple):
    at: float
    sequence: int


class EndedServers:
    """States of the incarnations whose entries were removed or replaced recently.

    An entry may be removed while its server still runs, and a late write may bring it back. What
    the server's responses told holds for the whole incarnation, so its state is kept until then.
    """

    def __init__(self) -> None:
        self._ended: dict[tuple[str, int], _Ended] = {}
        self._counts: dict[tuple[str, int], _Counted] = {}
        """Latest writes of incarnations that were never listed at this router."""

    def add(self, state: ServerState, *, now: float) -> None:
        """Remember an incarnation that is listed no longer.

        :param now: Seconds.
        """
        self._ended = {
            key: ended for key, ended in self._ended.items() if now - ended.at <= RETENTION_S
        }
        if state.entry.started_ms > 0:
            self._ended[_key(state.entry)] = _Ended(now, state)

    def record_counts(self, counts: Iterable[EntryCount], *, now: float) -> None:
        """Record the latest known writes of incarnations that are not listed.

        :param now: Seconds.
        """
        self._counts = {
            key: counted for key, counted in self._counts.items() if now - counted.at <= RETENTION_S
        }
        for count in counts:
            key = (count.server, count.started_ms)
            if key in self._ended:
                self._ended[key].state.record_sequence(count.sequence)
            elif count.started_ms > 0:
                known = self._counts.get(key, _Counted(now, 0))
                self._counts[key] = _Counted(now, max(known.sequence, count.sequence))

    def last_sequence(self, entry: ServerEntry) -> int:
        """Return the count of the latest known write of an incarnation that was never listed; 0 if
        none is known."""
        counted = self._counts.get(_key(entry))
        return 0 if counted is None else counted.sequence

    def find(self, entry: ServerEntry) -> ServerState | None:
        """Return the state of the incarnation that an entry belongs to, if it was remembered."""
        ended = self._ended.get(_key(entry))
        return None if ended is None else ended.state

    def is_superseded(self, entry: ServerEntry, listed: ServerState | None) -> bool:
        """Return whether the server is known to have started again after this incarnation.

        A start that was not listed before may be a restart after which the server's clock is
        behind.

        :param listed: The incarnation of the server that is listed now.
        """
        if _key(entry) not in self._ended:
            return False
        # In the order in which they ended.
        names = [key for key in self._ended if key[0] == entry.server]
        later = [started_ms for _, started_ms in names[names.index(_key(entry)) :]]
        if listed is not None:
            later.append(listed.entry.started_ms)
        return max(later) > entry.started_ms

    def pop(self, entry: ServerEntry) -> ServerState | None:
        """Return the state that `find` returns, and forget it."""
        ended = self._ended.pop(_key(entry), None)
        return None if ended is None else ended.state

    def __iter__(self) -> Iterator[ServerState]:
        return (ended.state for ended in self._ended.values())


def _key(entry: ServerEntry) -> tuple[str, int]:
    return entry.server, entry.started_ms
