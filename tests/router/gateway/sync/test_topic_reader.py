"""Tests of a topic reader during store outages and after lost history."""

from __future__ import annotations

import asyncio
import time
from typing import Any

import pytest
import structlog
from returns.result import Failure
from returns.result import Result
from returns.result import Success

from cornellead.gateway.sync import TopicReader
from cornellead_core.routing import UNKNOWN_ERA
from cornellead_core.routing import NoticeBatch
from cornellead_core.routing import OffsetExpired
from cornellead_core.routing import Position
from cornellead_core.routing import QuarantineMark
from cornellead_core.routing import RouterLocation
from cornellead_core.routing import RouterNotice
from cornellead_core.routing import StoreError
from cornellead_core.routing import Topic


class ScriptedStore:
    """Returns scripted responses in order, then blocks."""

    def __init__(self, *responses: object) -> None:
        self._responses = list(responses)
        self.reads: list[object] = []
        self.waits: list[float] = []

    async def read_newest(self, topic: Topic) -> Result[NoticeBatch, StoreError]:
        self.reads.append("newest")
        return await self._next()

    async def read_after(
        self, topic: Topic, *, position: Position, wait_s: float
    ) -> Result[NoticeBatch, StoreError | OffsetExpired]:
        self.reads.append(position.offset)
        self.waits.append(wait_s)
        return await self._next()

    async def announce(
        self, router: str, location: RouterLocation | None
    ) -> Result[int, StoreError]:
        return Success(UNKNOWN_ERA)

    async def publish_quarantine(
        self, part: str, mark: QuarantineMark | None
    ) -> Result[None, StoreError]:
        return Success(None)

    async def _next(self) -> Result[NoticeBatch, Any]:
        if not self._responses:
            await asyncio.sleep(3600)
        response = self._responses.pop(0)
        return Success(response) if isinstance(response, NoticeBatch) else Failure(response)


class RecordingSink:
    """Records the calls of a topic reader."""

    def __init__(self) -> None:
        self.calls: list[object] = []

    def apply_snapshot(self, batch: NoticeBatch) -> None:
        self.calls.append(("snapshot", _routers(batch)))

    def apply_changes(self, batch: NoticeBatch) -> None:
        self.calls.append(_routers(batch))

    def mark_unavailable(self) -> None:
        self.calls.append("unavailable")


class Broken(RecordingSink):
    """Fails to apply whatever comes with the record of a second router."""

    def apply_snapshot(self, batch: NoticeBatch) -> None:
        self._check(batch)

    def apply_changes(self, batch: NoticeBatch) -> None:
        self._check(batch)

    def _check(self, batch: NoticeBatch) -> None:
        if "r2" in _routers(batch):
            raise RuntimeError(batch)


def _routers(batch: NoticeBatch) -> list[str]:
    return [n.router for n in batch.notices if isinstance(n, RouterNotice)]


def _batch(offset: int, *names: str) -> NoticeBatch:
    return NoticeBatch(
        [RouterNotice(name, RouterLocation("10.0.0.1:1", "dc-a")) for name in names], offset
    )


async def _read(*responses: object) -> tuple[ScriptedStore, RecordingSink]:
    store, sink = ScriptedStore(*responses), RecordingSink()
    reader = TopicReader(
        store=store, topic=Topic.ROUTERS, sink=sink, wait_s=1.0, interval_s=lambda: 0.0
    )
    task = asyncio.create_task(reader.run())
    async with asyncio.timeout(3.0):
        while store._responses:
            await asyncio.sleep(0.01)
    await asyncio.sleep(0.01)
    task.cancel()
    return store, sink


async def test_reads_continue_after_the_last_record() -> None:
    """Guards against records that are skipped or applied twice."""
    store, sink = await _read(_batch(3, "r1"), _batch(3), _batch(5, "r2", "r3"))
    assert store.reads[:4] == ["newest", 3, 3, 5]
    assert sink.calls == [("snapshot", ["r1"]), [], ["r2", "r3"]]


async def test_end_of_outage_at_startup_is_detected_quickly() -> None:
    """Guards against rejecting callers after the store has recovered."""
    errors = [StoreError("503")] * 8
    before = time.monotonic()
    await _read(*errors, _batch(3, "r1"))
    assert time.monotonic() - before < 0.1 + 7 * 0.25 + 0.2


async def test_snapshot_is_read_after_lost_history() -> None:
    """Guards against missing changes that the store has dropped from its history."""
    store, sink = await _read(_batch(3, "r1"), OffsetExpired(3), _batch(9, "r4"))
    assert store.reads[:4] == ["newest", 3, "newest", 9]
    assert sink.calls == [("snapshot", ["r1"]), ("snapshot", ["r4"])]


async def test_rise_of_the_era_is_logged_with_both_offsets() -> None:
    """Guards against logs that do not tell a lost history from records that were dropped."""
    with structlog.testing.capture_logs() as lines:
        await _read(
            _batch(9, "r1")._replace(era=1),
            OffsetExpired(9, era=2),
            _batch(4, "r1")._replace(era=2),
        )
    gone, changed = lines
    assert (gone["event"], gone["era"], gone["store_era"]) == ("store history gone", 1, 2)
    assert (changed["event"], changed["era_before"], changed["era"]) == ("store era changed", 1, 2)
    assert (changed["offset_before"], changed["offset"]) == (9, 4)


async def test_outage_is_signalled_and_reading_continues() -> None:
    """Guards against mistaking an outage for an absence of changes."""
    store, sink = await _read(_batch(3), StoreError("503"), StoreError("503"), _batch(4, "r2"))
    assert store.reads[1:4] == [3, 3, 3]
    assert sink.calls == [("snapshot", []), "unavailable", "unavailable", ["r2"]]


async def test_reader_that_is_far_behind_reads_the_newest_records() -> None:
    """Guards against a reader that transfers all records that it missed."""
    behind = _batch(4, "r2")._replace(records_left=9)
    store, sink = await _read(_batch(3, "r1"), behind, _batch(13, "r11"), _batch(14, "r12"))
    assert store.reads[:4] == ["newest", 3, "newest", 13]
    assert sink.calls == [("snapshot", ["r1"]), ["r2"], ("snapshot", ["r11"]), ["r12"]]


async def test_slow_notices_are_confirmed_without_a_wait() -> None:
    """Guards against routers that leave their reader because its transfer of a large change and a
    long poll took longer than the age that they allow."""
    slow = _batch(4, "r2")._replace(age_s=0.8)
    relayed = _batch(4)._replace(age_s=0.8)
    store, _ = await _read(_batch(3, "r1"), slow, relayed, _batch(5, "r3"))
    assert store.waits[:4] == [1.0, 0.0, 1.0, 1.0]


async def test_restarted_reader_takes_a_snapshot() -> None:
    """Guards against notices that are lost since the task ended while it applied them."""
    store, sink = ScriptedStore(_batch(3, "r1"), _batch(5, "r2"), _batch(5, "r1", "r2")), Broken()
    reader = TopicReader(
        store=store, topic=Topic.ROUTERS, sink=sink, wait_s=1.0, interval_s=lambda: 0.0
    )
    with pytest.raises(RuntimeError):
        await reader.run()
    with pytest.raises(RuntimeError):
        await reader.run()
    assert store.reads == ["newest", 3, "newest"]
