"""Order of the writes to the entries of servers, as far as this router knows it."""

from __future__ import annotations

from typing import TYPE_CHECKING

import structlog
from returns.result import Failure

from cornellead.gateway.policy import LapseCheck
from cornellead_core.routing import EntryCount
from cornellead_core.routing import Position
from cornellead_core.routing import ServerNotice
from cornellead_core.routing import Topic
from cornellead_core.routing import are_different

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

    from cornellead.gateway.relay._change_log import ChangeLog
    from cornellead_core.routing import FleetStore
    from cornellead_core.routing import Notice
    from cornellead_core.routing import NoticeBatch

MISSED_RECORDS_PER_SERVER = 2
"""Records per listed server that are read for their counts: each server writes once in a heartbeat
interval, so the last records include one of each."""
MIN_MISSED_RECORDS = 64
"""Minimum number of records that are read for their counts."""
ASK_ENDED_S = 10.0
"""Time after the first read for which other routers are asked for servers that were removed before:
the store does not list them, and may execute a late write of one."""
MAX_MISSED_READS = 4
"""Maximum number of reads for counts, each of at most 256 KB: two records of 2,500 servers."""


class ServerWrites:
    """Completes what is read of the entries with what tells later writes from earlier ones.

    The store may execute a write seconds late, after the entry was removed. Routers that read from
    another router see changes only. One that goes on to read the store itself first learns the
    counts of the writes before, since a late write would pass for the return of a server.

    :param data_centre: Data centre of this router.
    :param heartbeat_s: Returns the heartbeat interval of servers in seconds; 0 if it is unknown.
    """

    def __init__(
        self,
        *,
        store: FleetStore,
        log: ChangeLog,
        data_centre: str,
        heartbeat_s: Callable[[], float],
        clock: Callable[[], float],
    ) -> None:
        self._store = store
        self._log = log
        self._lapses = LapseCheck(data_centre=data_centre, heartbeat_s=heartbeat_s)
        self._clock = clock
        self._read_from = float("-inf")
        """Time from which writes may be missing in the notices so far, in seconds."""
        self._read_end: Position | None = None
        """End of the latest read of the store itself."""
        self._learned: dict[str, EntryCount] = {}
        """Counts that the next batch passes on."""
        self._ask_ended_until = float("-inf")

    @property
    def lacks_ended(self) -> bool:
        """Whether servers may have been removed before this router began to read, and no other
        router has told which."""
        return self._clock() < self._ask_ended_until

    def record_relayed(self, topic: Topic, batch: NoticeBatch) -> NoticeBatch:
        """Complete a batch that another router relayed."""
        if topic is not Topic.SERVERS:
            return batch
        self._log.record_counts(batch.counts, now=self._clock())
        self._lapses.record_entries(batch.notices, snapshot=False)
        self._read_from = self._sent_at(batch)
        return self._pass_on(batch)

    def record_newest(self, topic: Topic, batch: NoticeBatch) -> NoticeBatch:
        """Complete the newest entries of the store, which do not tell when they were written."""
        if topic is not Topic.SERVERS:
            return batch
        if not self._log.loaded:
            self._ask_ended_until = self._clock() + ASK_ENDED_S
        self._lapses.record_entries(batch.notices, snapshot=True)
        self._read_from = self._sent_at(batch)
        self._read_end = batch.position
        return self._pass_on(batch)

    def record_read(self, topic: Topic, batch: NoticeBatch) -> NoticeBatch:
        """Complete later entries of the store, with the latest writes before each removal."""
        if topic is not Topic.SERVERS:
            return batch
        left = self._lapses.find_left(batch.notices, since=self._read_from, now=self._clock())
        self._read_from = self._sent_at(batch)
        self._read_end = batch.position
        removed = _removed(batch.notices)
        if removed:
            # A server that is back by the end of the read has the count of its return.
            removed -= self._log.listed
        for server in removed:
            known = self._log.counts_of([server]) or (EntryCount(server, 0, 0),)
            self._learned[server] = known[0]._replace(left=server in left)
        self._log.record_counts(self._learned.values(), now=self._clock())
        return self._pass_on(batch)

    def record_ended(self, counts: Iterable[EntryCount]) -> None:
        """Record the latest writes of servers that another router saw leave."""
        self._ask_ended_until = float("-inf")
        self._learn(counts)

    async def learn_missed(self, topic: Topic, position: Position, *, servers: int) -> None:
        """Learn the counts of the writes before a position that another router has read.

        :param servers: Number of listed servers.
        """
        if topic is not Topic.SERVERS or self._read_end == position:
            return
        most = max(MIN_MISSED_RECORDS, MISSED_RECORDS_PER_SERVER * servers)
        start = max(0, position.offset - most)
        if self._read_end is not None and self._read_end.era == position.era:
            start = max(start, self._read_end.offset)
        for _ in range(MAX_MISSED_READS):
            if start >= position.offset:
                return
            result = await self._store.read_after(
                Topic.SERVERS, position=position._replace(offset=start), wait_s=0.0
            )
            if isinstance(result, Failure):
                structlog.get_logger().info(
                    "counts of missed writes not read", offset=start, until=position.offset
                )
                return
            batch = result.unwrap()
            if are_different(batch.era, position.era):
                return
            self._learn(_counts(batch.notices[: position.offset - start]))
            if batch.next_offset <= start:
                return
            start = batch.next_offset

    def _learn(self, counts: Iterable[EntryCount]) -> None:
        learned = tuple(counts)
        self._log.record_counts(learned, now=self._clock())
        servers = {count.server for count in learned}
        self._learned.update({known.server: known for known in self._log.counts_of(servers)})

    def _pass_on(self, batch: NoticeBatch) -> NoticeBatch:
        learned, self._learned = self._learned, {}
        return batch._replace(counts=(*batch.counts, *learned.values()))

    def _sent_at(self, batch: NoticeBatch) -> float:
        wait_s = 0.0 if batch.read is None else batch.read.wait_s
        return self._clock() - batch.age_s - wait_s


def _removed(notices: Iterable[Notice]) -> set[str]:
    return {n.server for n in notices if isinstance(n, ServerNotice) and n.removed}


def _counts(notices: Iterable[Notice]) -> list[EntryCount]:
    entries = [n.entry for n in notices if isinstance(n, ServerNotice) and n.entry is not None]
    return [EntryCount(e.server, e.started_ms, e.sequence) for e in entries if e.sequence]
