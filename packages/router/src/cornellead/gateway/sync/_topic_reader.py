"""Follows one topic of the store."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING
from typing import Protocol

import structlog
from returns.result import Failure

from cornellead_core.routing import HistoryGone

if TYPE_CHECKING:
    from collections.abc import Callable

    from cornellead_core.routing import FleetStore
    from cornellead_core.routing import NoticeBatch
    from cornellead_core.routing import Topic

FIRST_RETRY_S = 0.1
"""Pause after a first failed call."""
LONGEST_RETRY_S = 0.5
"""Longest pause between failed calls: an outage of the store has to be noticed over quickly, since
its end starts the time within which changes must be in force."""
LONGEST_FIRST_RETRY_S = 0.25
"""Longest pause before the first success: until then the router cannot serve."""


class NoticeSink(Protocol):
    """Takes what a topic says."""

    def take_all(self, batch: NoticeBatch) -> None:
        """Take the newest notice of each writer, in place of all before."""
        ...

    def take(self, batch: NoticeBatch) -> None:
        """Take later notices, or none when the store confirmed that there are none."""
        ...

    def lose(self) -> None:
        """Note that the store cannot be read."""
        ...


class TopicReader:
    """Reads the newest notices once, then each later one.

    :param wait_s: Time for which the store holds a read that has no records.
    :param interval_s: Shortest time between reads.
    """

    def __init__(
        self,
        *,
        store: FleetStore,
        topic: Topic,
        sink: NoticeSink,
        wait_s: float,
        interval_s: Callable[[], float],
    ) -> None:
        self._store = store
        self._topic = topic
        self._sink = sink
        self._wait_s = wait_s
        self._interval_s = interval_s
        self._offset: int | None = None
        self._lost = False

    @property
    def name(self) -> str:
        """Name for logs."""
        return f"read-{self._topic}"

    async def run(self) -> None:
        """Read until cancelled."""
        retry_s = FIRST_RETRY_S
        while True:
            if await self._read():
                retry_s = FIRST_RETRY_S
                await asyncio.sleep(self._interval_s())
            else:
                await asyncio.sleep(retry_s)
                longest_s = LONGEST_FIRST_RETRY_S if self._offset is None else LONGEST_RETRY_S
                retry_s = min(longest_s, 2 * retry_s)

    async def _read(self) -> bool:
        if self._offset is None:
            newest = await self._store.read_newest(self._topic)
            if isinstance(newest, Failure):
                self._note_loss(newest.failure().message)
                return False
            batch = newest.unwrap()
            self._note_batch(batch)
            self._sink.take_all(batch)
            self._offset = batch.next_offset
            return True
        later = await self._store.read_after(self._topic, offset=self._offset, wait_s=self._wait_s)
        if isinstance(later, Failure):
            error = later.failure()
            if isinstance(error, HistoryGone):
                structlog.get_logger().info(
                    "store history gone", topic=self._topic.value, offset=error.offset
                )
                self._offset = None
                return True
            self._note_loss(error.message)
            return False
        batch = later.unwrap()
        self._note_batch(batch)
        self._sink.take(batch)
        self._offset = batch.next_offset
        return True

    def _note_loss(self, message: str) -> None:
        self._sink.lose()
        if not self._lost:
            self._lost = True
            structlog.get_logger().warning(
                "store lost", topic=self._topic.value, offset=self._offset, error=message
            )

    def _note_batch(self, batch: NoticeBatch) -> None:
        log = structlog.get_logger()
        if not batch.current:
            log.info("old notices taken", topic=self._topic.value, age_s=round(batch.age_s, 2))
        elif self._lost:
            self._lost = False
            log.info("store back", topic=self._topic.value, offset=self._offset)
