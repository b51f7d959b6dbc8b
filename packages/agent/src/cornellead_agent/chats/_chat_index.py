"""Chats whose cache this server is believed to hold, and hints about others."""

from __future__ import annotations

from collections import OrderedDict
from typing import NamedTuple

MAX_CHATS = 20_000
MAX_HINTS = 20_000
HINT_AGE_S = 3600.0


class _Hinted(NamedTuple):
    server: str
    at: float


class ChatIndex:
    """Least recently used index of chats; times are monotonic seconds.

    >>> index = ChatIndex()
    >>> index.hint(7, "b", now=0.0)
    >>> index.find_hint(7, now=1.0)
    'b'
    >>> index.touch(7, now=2.0)
    >>> index.holds(7), index.find_hint(7, now=3.0)
    (True, '')
    """

    def __init__(self) -> None:
        self._chats: OrderedDict[int, float] = OrderedDict()
        self._hints: OrderedDict[int, _Hinted] = OrderedDict()

    def __len__(self) -> int:
        return len(self._chats)

    def touch(self, chat: int, *, now: float) -> None:
        """Record that this server has the chat's cache."""
        self._chats[chat] = now
        self._chats.move_to_end(chat)
        # The newest turn ran here, so a hint to another server is out of date.
        self._hints.pop(chat, None)
        while len(self._chats) > MAX_CHATS:
            self._chats.popitem(last=False)

    def remove(self, chat: int) -> None:
        """Record that the server evicted the chat's cache."""
        self._chats.pop(chat, None)

    def clear(self) -> None:
        """Forget all chats, after the server lost its cache."""
        self._chats.clear()

    def holds(self, chat: int) -> bool:
        """Return whether the server is believed to hold the chat's cache."""
        return chat in self._chats

    def hint(self, chat: int, server: str, *, now: float) -> None:
        """Record that another server took the newest turn of a chat."""
        self._chats.pop(chat, None)
        self._hints[chat] = _Hinted(server, now)
        self._hints.move_to_end(chat)
        while len(self._hints) > MAX_HINTS:
            self._hints.popitem(last=False)

    def find_hint(self, chat: int, *, now: float) -> str:
        """Return the server that took the newest turn of a chat, or an empty string."""
        hinted = self._hints.get(chat)
        if hinted is None or now - hinted.at > HINT_AGE_S:
            return ""
        return hinted.server

    def recent(self, limit: int) -> list[int]:
        """Return the most recently used chats, newest first."""
        newest = reversed(self._chats)
        return [chat for chat, _ in zip(newest, range(limit), strict=False)]
