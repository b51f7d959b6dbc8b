"""Follows the cache events of the engine."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING
from typing import NamedTuple

import msgspec
from returns.result import Success

from cornellead_agent.facts import SERVER

if TYPE_CHECKING:
    from cornellead_agent.chats import ChatIndex
    from cornellead_agent.relay import EngineClient
    from cornellead_core.blackboard import Blackboard

WAIT_MS = 1000
TIMEOUT_S = 3.0
RETRY_S = 1.0


class CacheEvent(msgspec.Struct):
    """A chat was stored in the engine's cache or removed from it."""

    seq: int
    kind: str
    key: str


class CachePage(msgspec.Struct):
    """Answer to a read of cache events."""

    events: list[CacheEvent]
    next: int
    oldest: int


class CacheFollower(NamedTuple):
    """Position in the events of one engine process."""

    boot_id: str = ""
    next_seq: int = 1


def apply_events(page: CachePage, chats: ChatIndex, *, now: float) -> None:
    """Correct the index by a page of events.

    Lost events leave the index as it is: a wrong entry costs cache reuse only.
    """
    for event in page.events:
        try:
            chat = int(event.key, 16)
        except ValueError:
            continue
        if event.kind == "removed":
            chats.remove(chat)
        # A stored event may be older than a hint that another server took the chat since.
        elif event.kind == "stored" and not chats.find_hint(chat, now=now):
            chats.touch(chat, now=now)


class CacheWatcher:
    """Controller that reads cache events and corrects the chat index."""

    name = "cache-watcher"

    def __init__(self, *, board: Blackboard, client: EngineClient, chats: ChatIndex) -> None:
        self._board = board
        self._client = client
        self._chats = chats
        self._follower = CacheFollower()

    async def run(self) -> None:
        """Follow the events until cancelled."""
        while True:
            if not await self._read():
                await asyncio.sleep(RETRY_S)

    async def _read(self) -> bool:
        boot_id = self._board.read(SERVER).boot_id
        if boot_id != self._follower.boot_id:
            self._follower = CacheFollower(boot_id)
        target = f"/cache/events?from={self._follower.next_seq}&wait_ms={WAIT_MS}"
        fetched = await self._client.fetch("GET", target, timeout_s=TIMEOUT_S)
        if not isinstance(fetched, Success) or fetched.unwrap().status != 200:
            return False
        try:
            page = msgspec.json.decode(fetched.unwrap().body, type=CachePage)
        except msgspec.DecodeError:
            return False
        apply_events(page, self._chats, now=time.monotonic())
        self._follower = self._follower._replace(next_seq=max(page.next, page.oldest))
        return True
