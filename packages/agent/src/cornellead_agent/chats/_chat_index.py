"""Index of the chats in this server's cache, and hints to the servers of other chats."""

from __future__ import annotations

from collections import OrderedDict
from typing import NamedTuple

MAX_CHATS = 20_000
MAX_HINTS = 20_000
MAX_HINT_AGE_S = 3600.0


class _Hint(NamedTuple):
    server: str
    at: float


class ChatIndex:
    """Bounded LRU index of chats whose cache is probably on this server, and of hints.

    A hint names another server that ran the latest turn of a chat. Times are monotonic seconds.

    >>> index = ChatIndex()
    >>> index.add_hint(7, "b", now=0.0)
    >>> index.find_hint(7, now=1.0)
    'b'
    >>> index.touch(7, now=2.0)
    >>> index.holds(7), index.find_hint(7, now=3.0)
    (True, '')
    """

    def __init__(self) -> None:
        self._chats: OrderedDict[int, float] = OrderedDict()
        self._hints: OrderedDict[int, _Hint] = OrderedDict()

    def __len__(self) -> int:
        return len(self._chats)

    def touch(self, chat: int, *, now: float) -> None:
        """Mark a chat as most recently used on this server and remove its hint."""
        self._chats[chat] = now
        self._chats.move_to_end(chat)
        # The latest turn ran here, so a hint to another server is stale.
        self._hints.pop(chat, None)
        while len(self._chats) > MAX_CHATS:
            self._chats.popitem(last=False)

    def remove(self, chat: int) -> None:
        """Remove a chat whose cache the server evicted."""
        self._chats.pop(chat, None)

    def clear(self) -> None:
        """Remove all chats, after the server lost its cache; hints are kept."""
        self._chats.clear()

    def holds(self, chat: int) -> bool:
        """Return whether the chat's cache is probably on this server."""
        return chat in self._chats

    def add_hint(self, chat: int, server: str, *, now: float) -> None:
        """Record that another server ran the latest turn of a chat."""
        self._chats.pop(chat, None)
        self._hints[chat] = _Hint(server, now)
        self._hints.move_to_end(chat)
        while len(self._hints) > MAX_HINTS:
            self._hints.popitem(last=False)

    def find_hint(self, chat: int, *, now: float) -> str:
        """Return the server that ran the latest turn of a chat, or an empty string.

        Hints expire after `MAX_HINT_AGE_S`.
        """
        hinted = self._hints.get(chat)
        if hinted is None or now - hinted.at > MAX_HINT_AGE_S:
            return ""
        return hinted.server

    def recent(self, limit: int) -> list[int]:
        """Return the most recently used chats, newest first."""
        newest = reversed(self._chats)
        return [chat for chat, _ in zip(newest, range(limit), strict=False)]
