"""Updates the chat index from the cache events of the engine."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING
from typing import NamedTuple

import msgspec
from returns.result import Success

from cornellead_agent.facts import SERVER
from cornellead_core.decoding import UNREADABLE

if TYPE_CHECKING:
    from cornellead_agent.chats import ChatIndex
    from cornellead_agent.relay import EngineClient
    from cornellead_core.blackboard import Blackboard

POLL_WAIT_MS = 1000
"""Time that the engine holds a read open until an event occurs (long poll)."""
POLL_TIMEOUT_S = 3.0
RETRY_INTERVAL_S = 1.0


class CacheEvent(msgspec.Struct):
    """Notice that a chat's cache was stored in the engine or removed from it."""

    seq: int
    kind: str
    key: str


class CachePage(msgspec.Struct):
    """Response to a read of cache events.

    :param next: Sequence number to read from next.
    :param oldest: Oldest sequence number that the engine still keeps.
    """

    events: list[CacheEvent]
    next: int
    oldest: int


class CacheCursor(NamedTuple):
    """Read position in the events of one engine process."""

    boot_id: str = ""
    next_seq: int = 1


def apply_events(page: CachePage, chats: ChatIndex, *, now: float) -> None:
    """Apply a page of events to the index.

    Missed events are not repaired: a wrong entry only costs cache reuse.
    """
    for event in page.events:
        try:
            chat = int(event.key, 16)
        except ValueError:
            continue
        if event.kind == "removed":
            chats.remove(chat)
        # A hint means that another server ran a later turn, perhaps after this event.
        elif event.kind == "stored" and not chats.find_hint(chat, now=now):
            chats.touch(chat, now=now)


class CacheWatcher:
    """Controller that reads cache events and applies them to the chat index."""

    name = "cache-watcher"

    def __init__(self, *, board: Blackboard, client: EngineClient, chats: ChatIndex) -> None:
        self._board = board
        self._client = client
        self._chats = chats
        self._cursor = CacheCursor()

    async def run(self) -> None:
        """Read events until cancelled."""
        while True:
            if not await self._read():
                await asyncio.sleep(RETRY_INTERVAL_S)

    async def _read(self) -> bool:
        boot_id = self._board.read(SERVER).boot_id
        if boot_id != self._cursor.boot_id:
            self._cursor = CacheCursor(boot_id)
        target = f"/cache/events?from={self._cursor.next_seq}&wait_ms={POLL_WAIT_MS}"
        fetched = await self._client.fetch("GET", target, timeout_s=POLL_TIMEOUT_S, shared=True)
        if not isinstance(fetched, Success) or fetched.unwrap().status != 200:
            return False
        try:
            page = msgspec.json.decode(fetched.unwrap().body, type=CachePage)
        except UNREADABLE:
            return False
        apply_events(page, self._chats, now=time.monotonic())
        self._cursor = self._cursor._replace(next_seq=max(page.next, page.oldest))
        return True
