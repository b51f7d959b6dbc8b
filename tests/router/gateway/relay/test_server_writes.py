"""What a router reads of earlier writes when it becomes the reader."""

from __future__ import annotations

from returns.result import Result
from returns.result import Success
from tests.router.gateway.builders import make_entry

from cornellead.gateway.relay import ChangeLog
from cornellead.gateway.relay._server_writes import MIN_MISSED_RECORDS
from cornellead.gateway.relay._server_writes import ServerWrites
from cornellead_core.routing import EntryCount
from cornellead_core.routing import Notice
from cornellead_core.routing import NoticeBatch
from cornellead_core.routing import OffsetExpired
from cornellead_core.routing import Position
from cornellead_core.routing import ServerNotice
from cornellead_core.routing import StoreError
from cornellead_core.routing import Topic

END = 1_000


class PagedStore:
    """Store of which each read returns at most ten renewals of one server."""

    def __init__(self, *, era: int) -> None:
        self.era = era
        self.reads: list[int] = []

    async def read_after(
        self, topic: Topic, *, position: Position, wait_s: float
    ) -> Result[NoticeBatch, StoreError | OffsetExpired]:
        self.reads.append(position.offset)
        numbers = range(position.offset, min(END, position.offset + 10))
        notices: list[Notice] = [
            ServerNotice("s1", make_entry("s1", sequence=number + 1), removed=False)
            for number in numbers
        ]
        return Success(NoticeBatch(notices, numbers.stop, era=self.era))


def _writes(store: PagedStore, log: ChangeLog) -> ServerWrites:
    return ServerWrites(
        store=store,  # type: ignore[arg-type]
        log=log,
        data_centre="dc-a",
        heartbeat_s=lambda: 1.2,
        clock=lambda: 1.0,
    )


async def test_missed_writes_are_read_up_to_the_position() -> None:
    """Guards against a reader that learns a write which it has yet to read, and takes it for old
    then."""
    store, log = PagedStore(era=1), ChangeLog()
    await _writes(store, log).learn_missed(Topic.SERVERS, Position(25, 1), servers=1)
    assert store.reads == [0, 10, 20]
    assert log.counts_of(["s1"]) == (EntryCount("s1", 1, 25),)


async def test_reads_of_missed_writes_are_bounded() -> None:
    """Guards against a router that reads the whole log before it goes on."""
    store = PagedStore(era=1)
    await _writes(store, ChangeLog()).learn_missed(Topic.SERVERS, Position(END, 1), servers=1)
    assert store.reads == [END - MIN_MISSED_RECORDS + 10 * number for number in range(4)]


async def test_writes_that_this_router_has_read_are_not_read_again() -> None:
    """Guards against needless calls when a reader was only skipped for a moment."""
    store, log = PagedStore(era=1), ChangeLog()
    writes = _writes(store, log)
    writes.record_newest(Topic.SERVERS, NoticeBatch([], 990, era=1))
    await writes.learn_missed(Topic.SERVERS, Position(990, 1), servers=1)
    assert store.reads == []
    await writes.learn_missed(Topic.SERVERS, Position(995, 1), servers=1)
    assert store.reads == [990]


async def test_writes_of_another_era_are_not_learned() -> None:
    """Guards against counts of a history that the store has lost."""
    log = ChangeLog()
    await _writes(PagedStore(era=2), log).learn_missed(Topic.SERVERS, Position(25, 1), servers=1)
    assert log.counts_of(["s1"]) == ()
