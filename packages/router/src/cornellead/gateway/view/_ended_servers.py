"""Servers that ended, so that an older entry does not bring them back."""

from __future__ import annotations

from typing import NamedTuple

from cornellead_core.routing import ServerEntry

RETENTION_S = 60.0
"""Time for which an ended server is remembered: longer than a copy of the store is old and than it
takes until the store has removed the server again."""


class _Ended(NamedTuple):
    at: float
    entry: ServerEntry


class EndedServers:
    """Last entries of the servers that ended recently."""

    def __init__(self) -> None:
        self._ended: dict[str, _Ended] = {}

    def add(self, entry: ServerEntry, *, now: float) -> None:
        """Remember a server that ended.

        :param now: Seconds.
        """
        self._ended = {
            name: ended for name, ended in self._ended.items() if now - ended.at <= RETENTION_S
        }
        self._ended[entry.server] = _Ended(now, entry)

    def find(self, entry: ServerEntry) -> ServerEntry | None:
        """Return the last entry of the same start of a server if it has ended."""
        ended = self._ended.get(entry.server)
        if ended is None or not 0 < entry.started_ms == ended.entry.started_ms:
            return None
        return ended.entry
