"""Reader that follows one topic of the store."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING
from typing import Protocol

import structlog
from returns.result import Failure

from cornellead_core.routing import STORE_SOURCE
from cornellead_core.routing import OffsetExpired

if TYPE_CHECKING:
    from collections.abc import Callable

    from cornellead_core.routing import FleetStore
    from cornellead_core.routing import NoticeBatch
    from cornellead_core.routing import Position
    from cornellead_core.routing import Topic

INITIAL_BACKOFF_S = 0.1
"""Backoff after the first failed read."""
MAX_BACKOFF_S = 0.5
"""Maximum backoff: the end of a store outage has to be detected quickly, since a change published
during the outage must take effect within a bounded time after it."""
MAX_STARTUP_BACKOFF_S = 0.25
"""Maximum backoff before the first successful read: until then the router cannot serve callers."""
MAX_UNCONFIRMED_AGE_S = 0.3
"""Age of new notices above which the next read does not wait for later ones: with the time of a
long poll, routers that rely on this one would take its notices for old."""


class NoticeSink(Protocol):
    """Receiver of the notices of a topic."""

    def apply_snapshot(self, batch: NoticeBatch) -> None:
        """Replace the current state with the newest notice of each writer."""
        ...

    def apply_changes(self, batch: NoticeBatch) -> None:
        """Apply later notices; an empty batch confirms that nothing changed."""
        ...

    def mark_unavailable(self) -> None:
        """Handle a failed read of the store; called after each failed attempt."""
        ...


class TopicReader:
    """Reads the newest notice of each writer once, then all later notices.

    It starts over when the store no longer has the history after its offset, or when it is so far
    behind that a read leaves later notices in the store: at once the first time, with backoff when
    that did not help.

    :param wait_s: Maximum time for which the store holds a read while it has no new records.
    :param interval_s: Returns the minimum time between reads.
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
        self._position: Position | None = None
        self._left: Position | None = None
        """Position in the history that was given up, until another one is begun."""
        self._start_overs = 0
        """Consecutive times that the reader started over without a complete read of changes."""
        self._confirm_at_once = False
        self._unavailable = False

    @property
    def name(self) -> str:
        """Name of the task in logs."""
        return f"read-{self._topic}"

    async def run(self) -> None:
        """Read the topic until cancelled, with exponential backoff after failures."""
        # A restart after a failure takes a snapshot, whatever became of the notices before it.
        self._position = None
        backoff_s = INITIAL_BACKOFF_S
        while True:
            succeeded = await self._read()
            if succeeded and self._start_overs <= 1:
                backoff_s = INITIAL_BACKOFF_S
            if succeeded and (self._start_overs <= 1 or self._position is not None):
                await asyncio.sleep(self._interval_s())
                continue
            await asyncio.sleep(backoff_s)
            starting = self._position is None and not succeeded
            max_backoff_s = MAX_STARTUP_BACKOFF_S if starting else MAX_BACKOFF_S
            backoff_s = min(max_backoff_s, 2 * backoff_s)

    async def _read(self) -> bool:
        if self._position is None:
            newest = await self._store.read_newest(self._topic)
            if isinstance(newest, Failure):
                self._record_failure(newest.failure().message)
                return False
            batch = newest.unwrap()
            self._record_success(batch)
            self._sink.apply_snapshot(batch)
            self._begin_history(batch.position)
            return True
        wait_s = 0.0 if self._confirm_at_once else self._wait_s
        later = await self._store.read_after(self._topic, position=self._position, wait_s=wait_s)
        if isinstance(later, Failure):
            error = later.failure()
            if isinstance(error, OffsetExpired):
                structlog.get_logger().info(
                    "store settled" if error.settled else "store history gone",
                    topic=self._topic.value,
                    offset=error.offset,
                    era=self._position.era,
                    store_era=error.era,
                )
                self._start_over(self._position)
                return True
            self._record_failure(error.message)
            return False
        batch = later.unwrap()
        self._record_success(batch)
        self._sink.apply_changes(batch)
        # The newest records are one transfer, however many there are before them.
        if batch.records_left == 0:
            self._position = batch.position
            self._start_overs = 0
        else:
            self._start_over(batch.position)
        return True

    def _start_over(self, left: Position) -> None:
        self._left, self._position = left, None
        self._start_overs += 1

    def _begin_history(self, position: Position) -> None:
        left, self._left, self._position = self._left, None, position
        if left is None or position.era == left.era:
            return
        structlog.get_logger().info(
            "store era changed",
            topic=self._topic.value,
            era_before=left.era,
            era=position.era,
            offset_before=left.offset,
            offset=position.offset,
        )

    def _record_failure(self, message: str) -> None:
        self._sink.mark_unavailable()
        if not self._unavailable:
            self._unavailable = True
            structlog.get_logger().warning(
                "store lost",
                topic=self._topic.value,
                offset=None if self._position is None else self._position.offset,
                era=None if self._position is None else self._position.era,
                error=message,
            )

    def _record_success(self, batch: NoticeBatch) -> None:
        log = structlog.get_logger()
        self._confirm_at_once = bool(batch.notices) and batch.age_s > MAX_UNCONFIRMED_AGE_S
        if not batch.is_current:
            log.info("old notices taken", topic=self._topic.value, age_s=round(batch.age_s, 2))
        elif self._unavailable:
            self._unavailable = False
            source = STORE_SOURCE if batch.read is None else batch.read.source
            log.info(
                "store back",
                topic=self._topic.value,
                offset=batch.next_offset,
                era=batch.era,
                source=source,
            )
