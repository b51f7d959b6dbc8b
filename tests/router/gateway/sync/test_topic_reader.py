"""Following the store through outages and lost history."""

from __future__ import annotations

import asyncio
import time
from typing import Any

from returns.result import Failure
from returns.result import Result
from returns.result import Success

from cornellead.gateway.sync import TopicReader
from cornellead_core.routing import HistoryGone
from cornellead_core.routing import NoticeBatch
from cornellead_core.routing import RouterNotice
from cornellead_core.routing import RouterPlace
from cornellead_core.routing import StoreError
from cornellead_core.routing import Topic


class ScriptedStore:
    """Answers from a list, then waits for ever."""

    def __init__(self, *answers: object) -> None:
        self._answers = list(answers)
        self.reads: list[object] = []

    async def read_newest(self, topic: Topic) -> Result[NoticeBatch, StoreError]:
        self.reads.append("newest")
        return await self._next()

    async def read_after(
        self, topic: Topic, *, offset: int, wait_s: float
    ) -> Result[NoticeBatch, StoreError | HistoryGone]:
        self.reads.append(offset)
        return await self._next()

    async def announce(self, router: str, place: RouterPlace | None) -> Result[None, StoreError]:
        return Success(None)

    async def _next(self) -> Result[NoticeBatch, Any]:
        if not self._answers:
            await asyncio.sleep(3600)
        answer = self._answers.pop(0)
        return Success(answer) if isinstance(answer, NoticeBatch) else Failure(answer)


class Recorder:
    """Keeps what a reader told."""

    def __init__(self) -> None:
        self.told: list[object] = []

    def take_all(self, batch: NoticeBatch) -> None:
        self.told.append(("all", _routers(batch)))

    def take(self, batch: NoticeBatch) -> None:
        self.told.append(_routers(batch))

    def lose(self) -> None:
        self.told.append("lost")


def _routers(batch: NoticeBatch) -> list[str]:
    return [n.router for n in batch.notices if isinstance(n, RouterNotice)]


def _batch(offset: int, *names: str) -> NoticeBatch:
    return NoticeBatch(
        [RouterNotice(name, RouterPlace("10.0.0.1:1", "dc-a")) for name in names], offset
    )


async def _read(*answers: object) -> tuple[ScriptedStore, Recorder]:
    store, sink = ScriptedStore(*answers), Recorder()
    reader = TopicReader(
        store=store, topic=Topic.ROUTERS, sink=sink, wait_s=0.0, interval_s=lambda: 0.0
    )
    task = asyncio.create_task(reader.run())
    async with asyncio.timeout(3.0):
        while store._answers:
            await asyncio.sleep(0.01)
    await asyncio.sleep(0.01)
    task.cancel()
    return store, sink


async def test_reads_go_on_after_the_last_record() -> None:
    """Guards against records that are skipped or taken twice."""
    store, sink = await _read(_batch(3, "r1"), _batch(3), _batch(5, "r2", "r3"))
    assert store.reads[:4] == ["newest", 3, 3, 5]
    assert sink.told == [("all", ["r1"]), [], ["r2", "r3"]]


async def test_end_of_an_outage_at_a_start_is_noticed_soon() -> None:
    """Guards against callers that are refused although the store is back."""
    errors = [StoreError("503")] * 8
    before = time.monotonic()
    await _read(*errors, _batch(3, "r1"))
    assert time.monotonic() - before < 0.1 + 7 * 0.25 + 0.2


async def test_lost_history_is_replaced_by_the_newest_records() -> None:
    """Guards against changes that were dropped from the log and never seen."""
    store, sink = await _read(_batch(3, "r1"), HistoryGone(3), _batch(9, "r4"))
    assert store.reads[:4] == ["newest", 3, "newest", 9]
    assert sink.told == [("all", ["r1"]), ("all", ["r4"])]


async def test_outage_is_told_and_read_over() -> None:
    """Guards against taking an outage for the absence of changes."""
    store, sink = await _read(_batch(3), StoreError("503"), StoreError("503"), _batch(4, "r2"))
    assert store.reads[1:4] == [3, 3, 3]
    assert sink.told == [("all", []), "lost", "lost", ["r2"]]
