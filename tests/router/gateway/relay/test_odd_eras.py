"""Tests of routers whose store, or whose other routers, name eras that do not fit together."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING
from typing import Any

import pytest
import structlog
from returns.result import Failure
from returns.result import Result
from returns.result import Success

from cornellead.gateway.relay import RelayedStore
from cornellead.gateway.relay import RelayPage
from cornellead.gateway.relay import encode_page
from cornellead.gateway.sync import TopicReader
from cornellead.gateway.view import FleetView
from cornellead.gateway.view._store_history import FALLEN_ERA_S
from cornellead_core.routing import UNKNOWN_ERA
from cornellead_core.routing import HttpResponse
from cornellead_core.routing import NoticeBatch
from cornellead_core.routing import Position
from cornellead_core.routing import RouterLocation
from cornellead_core.routing import Topic

if TYPE_CHECKING:
    from collections.abc import Callable

PLAY_S = 1.0
MAX_READS = 14
"""Reads in `PLAY_S`: a start over takes two, and 0.1, 0.2, 0.4 and 0.5 s lie between them."""


class OddStore:
    """A store that names eras, and leaves records, as a test says for the n-th read."""

    def __init__(
        self,
        newest_era: Callable[[int], int],
        later_era: Callable[[int], int],
        records_left: int = 0,
    ) -> None:
        self._newest_era = newest_era
        self._later_era = later_era
        self._records_left = records_left
        self.reads = 0

    async def read_newest(self, topic: Topic) -> Result[NoticeBatch, Any]:
        self.reads += 1
        await asyncio.sleep(0.001)
        return Success(NoticeBatch([], 5, 0.0, era=self._newest_era(self.reads)))

    async def read_after(
        self, topic: Topic, *, position: Position, wait_s: float
    ) -> Result[NoticeBatch, Any]:
        self.reads += 1
        era = self._later_era(self.reads)
        await asyncio.sleep(0.1 if era == position.era and not self._records_left else 0.001)
        return Success(
            NoticeBatch([], position.offset, 0.0, era=era, records_left=self._records_left)
        )

    async def announce(self, router: str, location: RouterLocation | None) -> Result[int, Any]:
        return Success(self._later_era(self.reads))


class CountingSink:
    """Counts the reads that a sink gets."""

    def __init__(self) -> None:
        self.snapshots = self.changes = self.failures = 0

    def apply_snapshot(self, batch: NoticeBatch) -> None:
        self.snapshots += 1

    def apply_changes(self, batch: NoticeBatch) -> None:
        self.changes += 1

    def mark_unavailable(self) -> None:
        self.failures += 1


class NoHttp:
    """No other router responds."""

    async def call(self, *args: object, **arguments: object) -> Failure[str]:
        return Failure("no route")


def _make_relayed(store: Any, clock: Callable[[], float] = time.monotonic) -> RelayedStore:
    location = RouterLocation("127.0.0.1:1", "dc-a")
    view = FleetView(router="r1")
    http: Any = NoHttp()
    return RelayedStore(store=store, view=view, http=http, location=location, clock=clock)


async def _play(store: OddStore) -> CountingSink:
    sink = CountingSink()
    reader = TopicReader(
        store=_make_relayed(store),
        topic=Topic.OPERATOR,
        sink=sink,
        wait_s=1.0,
        interval_s=lambda: 0.0,
    )
    task = asyncio.create_task(reader.run())
    await asyncio.sleep(PLAY_S)
    task.cancel()
    return sink


@pytest.mark.parametrize(
    ("newest_era", "later_era", "records_left"),
    [(UNKNOWN_ERA, 5, 0), (1, 1, 3)],
    ids=["newest records without an era", "incomplete first record"],
)
async def test_reader_that_starts_over_again_and_again_spares_the_store(
    newest_era: int, later_era: int, records_left: int
) -> None:
    """Guards against a router that reads the newest records at full speed."""
    store = OddStore(lambda _: newest_era, lambda _: later_era, records_left)
    await _play(store)
    assert 4 <= store.reads <= MAX_READS


async def test_store_whose_newest_records_name_no_era_is_followed() -> None:
    """Guards against a router that starts over for ever and never gets a change."""
    sink = await _play(OddStore(lambda _: UNKNOWN_ERA, lambda _: 5))
    assert sink.snapshots == 2 and sink.changes >= 4


async def test_answer_that_names_no_era_keeps_that_of_the_position() -> None:
    """Guards against a log that loses its era, whose followers then start over."""
    store = OddStore(lambda _: 1, lambda _: UNKNOWN_ERA)
    relayed = _make_relayed(store)
    newest = (await relayed.read_newest(Topic.OPERATOR)).unwrap()
    later = await relayed.read_after(Topic.OPERATOR, position=newest.position, wait_s=0.0)
    page = relayed.logs[Topic.OPERATOR].read(None, now=time.monotonic())
    assert page is not None and (later.unwrap().era, page.era) == (1, 1)


async def _read_twice(relayed: RelayedStore) -> NoticeBatch | None:
    newest = await relayed.read_newest(Topic.OPERATOR)
    if isinstance(newest, Failure):
        return None
    batch = newest.unwrap()
    later = await relayed.read_after(Topic.OPERATOR, position=batch.position, wait_s=0.0)
    return later.unwrap() if isinstance(later, Success) else None


async def test_one_answer_of_a_high_era_does_not_isolate_a_router_for_good() -> None:
    """Guards against a router that drops all answers of the store until it is restarted."""
    now = 0.0
    store = OddStore(lambda read: 10**17 if read == 3 else 1, lambda _: 1)
    relayed = _make_relayed(store, lambda: now)
    assert await _read_twice(relayed) is not None
    assert await _read_twice(relayed) is None
    with structlog.testing.capture_logs() as lines:
        while now <= FALLEN_ERA_S:
            now += 0.5
            await _read_twice(relayed)
        batch = await _read_twice(relayed)
    assert batch is not None and batch.era == 1
    fallen = [line for line in lines if line["event"] == "store era fell"]
    assert [(line["era"], line["era_before"]) for line in fallen] == [(1, 10**17)]


async def test_lower_era_is_not_taken_while_answers_may_be_delayed() -> None:
    """Guards against a router that goes back to a lost history with delayed answers, however many
    they are, while the store names the later one in between."""
    now = 0.0
    eras = iter([1, 2, 2, 1, 2, 2, 1, 2, 1])
    relayed = _make_relayed(OddStore(lambda _: next(eras), lambda _: 2), lambda: now)
    used = []
    for _ in range(9):
        used.append(isinstance(await relayed.read_newest(Topic.OPERATOR), Success))
        now += FALLEN_ERA_S - 0.1
    assert used == [True, True, True, False, True, True, False, True, False]


class PeerHttp:
    """Another router, whose pages name an era of the test's choice."""

    def __init__(self, era: bytes | None) -> None:
        self.era = era

    async def call(self, *args: object, **arguments: object) -> Result[HttpResponse, str]:
        headers = {} if self.era is None else {"notices-era": self.era.decode()}
        page = RelayPage([], 5, True, 0.1)
        return Success(HttpResponse(200, encode_page(page), headers=headers))


def _make_follower(store: Any, http: Any) -> RelayedStore:
    view = FleetView(router="r1")
    reader = RouterLocation("127.0.0.1:9", "dc-a", 9.0)
    view.apply_announcement("r0", reader, now=time.monotonic())
    location = RouterLocation("127.0.0.1:1", "dc-a", 1.0)
    return RelayedStore(store=store, view=view, http=http, location=location, clock=time.monotonic)


async def test_high_era_of_another_router_is_refuted_by_the_store() -> None:
    """Guards against a router that follows the era of a peer and drops all answers of the store."""
    http = PeerHttp(b"9" * 18)
    relayed = _make_follower(OddStore(lambda _: 1, lambda _: 1), http)
    assert (await relayed.read_newest(Topic.OPERATOR)).unwrap().era == int("9" * 18)
    http.era = b"1"
    newest = await relayed.read_newest(Topic.OPERATOR)
    assert isinstance(newest, Success) and newest.unwrap().era == 1


async def test_reader_of_an_earlier_build_is_not_relied_on_beside_a_store_that_names_eras() -> None:
    """Guards against a router that never learns of a restore, since its reader names no era."""
    store = OddStore(lambda _: 2, lambda _: 2)
    relayed = _make_follower(store, PeerHttp(None))
    assert (await relayed.read_newest(Topic.OPERATOR)).unwrap().era == UNKNOWN_ERA
    assert store.reads == 0
    await relayed.announce("r1", None)
    assert (await _read_twice(relayed)) is not None
    page = relayed.logs[Topic.OPERATOR].read(None, now=time.monotonic())
    assert page is not None and (store.reads, page.era) == (2, 2)
