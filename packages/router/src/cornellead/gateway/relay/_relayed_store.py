"""Access to the store, for most routers through another router of their data centre."""

from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING
from typing import Any

import structlog
from returns.result import Failure
from returns.result import Result
from returns.result import Success

from cornellead.gateway.relay._change_log import ChangeLog
from cornellead.gateway.relay._in_force_client import InForceClient
from cornellead.gateway.relay._in_force_client import newest_version
from cornellead.gateway.relay._peer_client import FetchedPage
from cornellead.gateway.relay._peer_client import PeerClient
from cornellead.gateway.relay._server_writes import ServerWrites
from cornellead_core.placement import rank_members
from cornellead_core.routing import UNKNOWN_ERA
from cornellead_core.routing import NoticeBatch
from cornellead_core.routing import OffsetExpired
from cornellead_core.routing import StoreError
from cornellead_core.routing import Topic

if TYPE_CHECKING:
    from collections.abc import Callable

    from cornellead.gateway.view import FleetView
    from cornellead_core.routing import FleetStore
    from cornellead_core.routing import HttpClient
    from cornellead_core.routing import Position
    from cornellead_core.routing import QuarantineMark
    from cornellead_core.routing import RouterLocation

MAX_READERS_QUERIED = 2
"""Routers queried before a router reads the store itself: the reader of the data centre and, when
it fails, the next in rank, which has become the reader once it has noticed."""
MAX_PAGE_AGE_S = {
    Topic.OPERATOR: 1.2,
    Topic.SERVERS: 1.2,
    Topic.ROUTERS: 10.0,
    Topic.ROLLOUTS: 3.0,
}
"""Maximum age of a page that is used: longer than the interval at which readers confirm the topic.
For operators' changes and servers, this age plus the time to detect an unresponsive reader is below
2 s, within which a change must take effect."""
MAX_WAIT_S = 0.4
"""Maximum time for which a reader is asked to hold a read, so that an unresponsive reader is
detected quickly."""
READER_BACKOFF_S = 2.0
"""Time for which a reader is skipped after it did not respond or returned an old page."""
STORE_BACKOFF_S = 1.0
"""Time for which the store is skipped after it failed if another router has recent notices."""
FIRST_POLL_S = 0.02
"""Interval until other routers are queried by a router that reads the store for the first time: the
first load reports, which name routers, arrive within a few milliseconds."""
MAX_POLL_S = 0.16
PEERS_WAIT_S = 0.3
"""Maximum time for which a router that starts waits for the names of others: they come with the
first read of the routers or with load reports."""
EARLIER_ERA = "the answer is of an earlier era than one before"
MAX_QUERIED_PEERS = 4
"""Number of routers queried concurrently when the store is unavailable at startup."""
MAX_BACKUPS_QUERIED = 2
"""Number of routers queried concurrently when the store rejects this router. In an outage of the
store all routers do so, within the budget of control traffic."""


class RelayedStore:
    """Reads the store directly if this router is a reader of its data centre, else via a reader.

    This limits traffic with hundreds of routers and a thousand servers whose entries are renewed
    every second: only the readers receive every renewal, and the other routers receive just the
    changes. If no reader returns recent notices, a router reads the store itself. If the store
    fails, it takes recent notices of any other router, and in a store outage at startup even old
    ones.

    :param location: Where this router runs.
    :param heartbeat_s: Returns the heartbeat interval of servers in seconds; 0 if it is unknown.
    """

    def __init__(
        self,
        *,
        store: FleetStore,
        view: FleetView,
        http: HttpClient,
        location: RouterLocation,
        clock: Callable[[], float],
        heartbeat_s: Callable[[], float] = lambda: 0.0,
    ) -> None:
        self._store = store
        self._view = view
        self._peers = PeerClient(view=view, http=http, clock=clock)
        self._in_force = InForceClient(view=view, http=http, clock=clock)
        self._location = location
        self._clock = clock
        self._backoff_until: dict[tuple[str, Topic], float] = {}
        self._store_retry_at: dict[Topic, float] = {}
        """Time of the next read of the store, by the topics whose last read of it failed."""
        self.logs = {topic: ChangeLog() for topic in Topic}
        self._writes = ServerWrites(
            store=store,
            log=self.logs[Topic.SERVERS],
            data_centre=location.data_centre,
            heartbeat_s=heartbeat_s,
            clock=clock,
        )
        self.relayed = 0
        """Number of reads served by another router."""

    async def read_newest(self, topic: Topic) -> Result[NoticeBatch, StoreError]:
        """Return the newest notice of each writer."""
        result = await self._read_newest(topic)
        if topic is not Topic.OPERATOR or isinstance(result, Failure):
            return result
        batch, read_at = result.unwrap(), self._clock()
        if self._in_force.is_due():
            await self._await_peers()
            await self._ask_in_force(newest_version(batch.notices))
        aged = batch._replace(age_s=batch.age_s + self._clock() - read_at)
        return Success(self._in_force.complete(aged))

    async def _read_newest(self, topic: Topic) -> Result[NoticeBatch, StoreError]:
        fetched = await self._query_reader(topic, position=None, wait_s=0.0)
        if fetched is not None:
            return Success(self._apply_snapshot(topic, fetched))
        if self.logs[topic].loaded or topic in (Topic.ROUTERS, Topic.ROLLOUTS):
            result = await self._read_store_newest(topic)
        else:
            first = await self._read_first(topic)
            if isinstance(first, FetchedPage):
                return Success(self._apply_snapshot(topic, first))
            result = first
        if isinstance(result, Success):
            batch = result.unwrap()
            sent_at = self._clock() - batch.age_s
            batch = self._writes.record_newest(topic, batch)
            self.logs[topic].replace(batch.notices, batch.position, now=sent_at)
            self.logs[topic].set_from_store(True)
            return Success(batch)
        self.logs[topic].set_from_store(False)
        peers = self._sample_peers(MAX_QUERIED_PEERS)
        youngest = await self._peers.fetch_youngest(peers, topic, position=None, wait_s=0.0)
        if youngest is None:
            return result
        if self.logs[topic].loaded and youngest.page.age_s > MAX_PAGE_AGE_S[topic]:
            return result
        return Success(self._apply_snapshot(topic, youngest))

    async def read_after(
        self, topic: Topic, *, position: Position, wait_s: float
    ) -> Result[NoticeBatch, StoreError | OffsetExpired]:
        """Return the notices since a position, waiting for the first one.

        :param wait_s: Maximum wait in seconds; 0 returns immediately.
        """
        if topic is not Topic.OPERATOR:
            return await self._read_after(topic, position=position, wait_s=wait_s)
        if self._in_force.is_due():
            cfg = self._view.config
            result, _ = await asyncio.gather(
                self._read_after(topic, position=position, wait_s=wait_s),
                self._ask_in_force(-1 if cfg is None else cfg.version),
            )
        else:
            result = await self._read_after(topic, position=position, wait_s=wait_s)
        return result.map(self._in_force.complete)

    async def _ask_in_force(self, version: int) -> None:
        peers = self._sample_peers(MAX_QUERIED_PEERS)
        await self._in_force.ask(peers.values(), above=version)

    async def _await_peers(self) -> None:
        """Wait until other routers are known, or it is known that there are none."""
        try:
            async with asyncio.timeout(PEERS_WAIT_S):
                while not (self._view.peers(now=self._clock()) or self.logs[Topic.ROUTERS].loaded):
                    await asyncio.sleep(FIRST_POLL_S)
        except TimeoutError:
            return

    async def _read_after(
        self, topic: Topic, *, position: Position, wait_s: float
    ) -> Result[NoticeBatch, StoreError | OffsetExpired]:
        if self._view.history.take_settled(topic, now=self._clock()):
            return Failure(OffsetExpired(position.offset, position.era, settled=True))
        if topic is Topic.SERVERS and self._writes.lacks_ended:
            await self._ask_ended(position)
        hold_s = min(MAX_WAIT_S, wait_s)
        fetched = await self._query_reader(topic, position=position, wait_s=hold_s)
        if fetched is None and topic in self._store_retry_at:
            fetched = await self._query_backups_in_outage(topic, position=position, wait_s=hold_s)
        if fetched is not None:
            return self._apply_changes(topic, fetched, position=position)
        return await self._read_store_after(topic, position=position, wait_s=wait_s)

    async def announce(
        self, router: str, location: RouterLocation | None
    ) -> Result[int, StoreError]:
        """Announce a router in the store.

        :param location: Where the router runs; ``None`` if it is stopping.
        :returns: The era that the store named.
        """
        result = await self._store.announce(router, location)
        if result.value_or(UNKNOWN_ERA) != UNKNOWN_ERA:
            self._view.history.mark_named()
        return result

    async def publish_quarantine(
        self, part: str, mark: QuarantineMark | None
    ) -> Result[None, StoreError]:
        """Publish the quarantine of a prompt part in the store; ``None`` publishes its end."""
        return await self._store.publish_quarantine(part, mark)

    async def _read_first(self, topic: Topic) -> FetchedPage | Result[NoticeBatch, StoreError]:
        """Read the store and, once other routers are known, theirs as well; the first page counts.

        A router that starts knows no reader yet, and the newest records of the store can be twenty
        times as large as the page of a router.
        """
        from_store = asyncio.create_task(self._read_store_newest(topic))
        from_router = asyncio.create_task(self._await_page(topic))
        tasks: set[asyncio.Task[Any]] = {from_store, from_router}
        try:
            await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
            return from_store.result() if from_store.done() else from_router.result()
        finally:
            from_store.cancel()
            from_router.cancel()

    async def _await_page(self, topic: Topic) -> FetchedPage:
        """Query other routers until one has recent notices."""
        interval_s = FIRST_POLL_S
        while True:
            await asyncio.sleep(interval_s)
            interval_s = min(MAX_POLL_S, 2 * interval_s)
            peers = self._readers() or self._sample_peers(MAX_BACKUPS_QUERIED)
            fetched = await self._peers.fetch_youngest(peers, topic, position=None, wait_s=0.0)
            if fetched is not None and fetched.page.age_s <= MAX_PAGE_AGE_S[topic]:
                self.relayed += 1
                return fetched

    async def _read_store_newest(self, topic: Topic) -> Result[NoticeBatch, StoreError]:
        result = await self._store.read_newest(topic)
        if isinstance(result, Success) and not self._meet(topic, result.unwrap().era):
            return Failure(StoreError(EARLIER_ERA))
        return result

    def _meet(self, topic: Topic, era: int) -> bool:
        """Record the era of an answer of the store, and return whether the answer may be used."""
        latest = self._view.history.latest(topic)
        if self._view.history.meet(topic, era, now=self._clock()):
            if UNKNOWN_ERA < era < latest:
                structlog.get_logger().warning(
                    "store era fell", topic=topic.value, era=era, era_before=latest
                )
            return True
        structlog.get_logger().info(
            "answer of an earlier era dropped", topic=topic.value, era=era, latest=latest
        )
        return False

    async def _read_store_after(
        self, topic: Topic, *, position: Position, wait_s: float
    ) -> Result[NoticeBatch, StoreError | OffsetExpired]:
        """Read the store, or other routers if it fails."""
        met_before = self._view.history.latest(topic)
        result = await self._store.read_after(topic, position=position, wait_s=wait_s)
        if isinstance(result, Success) and not self._meet(topic, result.unwrap().era):
            result = Failure(StoreError(EARLIER_ERA))
        if isinstance(result, Success):
            batch = result.unwrap()
            if position.era == UNKNOWN_ERA and self.logs[topic].from_store:
                # The newest records, which named none, were read after this era was met.
                position = position._replace(era=met_before)
            if not position.continues_in(batch.era):
                return Failure(OffsetExpired(position.offset, batch.era))
            batch = batch._replace(era=position.era)
            await self._writes.learn_missed(topic, position, servers=len(self._view.servers))
            self.logs[topic].add(
                batch.notices,
                batch.position,
                now=self._clock() - batch.age_s,
                complete=batch.records_left == 0,
            )
            self.logs[topic].set_from_store(True)
            self._store_retry_at.pop(topic, None)
            return Success(self._writes.record_read(topic, batch))
        error = result.failure()
        if isinstance(error, OffsetExpired):
            self._meet(topic, error.era)
            return result
        self.logs[topic].set_from_store(False)
        self._store_retry_at[topic] = self._clock() + STORE_BACKOFF_S
        fetched = await self._query_backups(topic, position=position, wait_s=0.0)
        return result if fetched is None else self._apply_changes(topic, fetched, position=position)

    def _apply_snapshot(self, topic: Topic, fetched: FetchedPage) -> NoticeBatch:
        page, age_s = fetched.page, fetched.age_s
        self.logs[topic].replace(page.notices, page.position, now=self._clock() - age_s)
        self.logs[topic].set_from_store(False)
        return self._writes.record_relayed(topic, fetched.to_batch())

    def _apply_changes(
        self, topic: Topic, fetched: FetchedPage, *, position: Position
    ) -> Result[NoticeBatch, StoreError | OffsetExpired]:
        if fetched.page.snapshot or not position.continues_in(fetched.page.era):
            return Failure(OffsetExpired(position.offset, fetched.page.era))
        fetched = fetched._replace(page=fetched.page._replace(era=position.era))
        page, age_s = fetched.page, fetched.age_s
        self.logs[topic].add(page.notices, page.position, now=self._clock() - age_s)
        self.logs[topic].set_from_store(False)
        return Success(self._writes.record_relayed(topic, fetched.to_batch()))

    async def _ask_ended(self, position: Position) -> None:
        """Ask other routers for the servers that were removed before this one began to read."""
        peers = self._sample_peers(MAX_BACKUPS_QUERIED)
        fetched = await self._peers.fetch_youngest(
            peers, Topic.SERVERS, position=position, wait_s=0.0, ended=True
        )
        if fetched is not None:
            self._writes.record_ended(fetched.page.counts)

    def _sample_peers(self, count: int) -> dict[str, str]:
        """Return the addresses of a few random routers of any data centre by name."""
        peers = list(self._view.peers(now=self._clock()).items())
        sample = random.sample(peers, min(count, len(peers)))
        return {name: location.address for name, location in sample}

    async def _query_backups_in_outage(
        self, topic: Topic, *, position: Position, wait_s: float
    ) -> FetchedPage | None:
        """Return what other routers have while the store counts as lost; ``None`` if it is to be
        read.

        They are asked even when the store is due for another read: after an outage they have the
        newest state in a small part of its size.
        """
        if self._clock() < self._store_retry_at[topic]:
            return await self._query_backups(topic, position=position, wait_s=wait_s)
        fetched = await self._query_backups(topic, position=position, wait_s=0.0)
        return fetched if fetched is not None and fetched.page.notices else None

    async def _query_backups(
        self, topic: Topic, *, position: Position, wait_s: float
    ) -> FetchedPage | None:
        """Return recent notices of another router, if one has them."""
        peers = self._sample_peers(MAX_BACKUPS_QUERIED)
        youngest = await self._peers.fetch_youngest(peers, topic, position=position, wait_s=wait_s)
        if youngest is None or youngest.page.age_s > MAX_PAGE_AGE_S[topic]:
            return None
        self.relayed += 1
        return youngest

    def _readers(self) -> dict[str, str]:
        """Return the addresses of the routers of this data centre that read the store before this
        one does, by name in order of rank; empty if this router is the reader.

        Hosts with faster links come first: a reader receives whole configurations from the store
        and sends them to all other routers of its data centre.
        """
        data_centre = self._location.data_centre
        members = {
            name: location
            for name, location in self._view.peers(now=self._clock()).items()
            if location.data_centre == data_centre
        }
        members[self._view.router] = self._location
        ranked = rank_members(data_centre, members)
        ranked.sort(key=lambda name: members[name].link_mbps, reverse=True)
        preceding = ranked[: ranked.index(self._view.router)]
        return {name: members[name].address for name in preceding[:MAX_READERS_QUERIED]}

    async def _query_reader(
        self, topic: Topic, *, position: Position | None, wait_s: float
    ) -> FetchedPage | None:
        for name, address in self._readers().items():
            if self._clock() < self._backoff_until.get((name, topic), 0.0):
                continue
            fetched = await self._peers.fetch(
                name, address, topic, position=position, wait_s=wait_s, as_reader=True
            )
            if fetched is not None and fetched.page.age_s <= MAX_PAGE_AGE_S[topic]:
                self.relayed += 1
                return fetched
            self._backoff_until[name, topic] = self._clock() + READER_BACKOFF_S
            structlog.get_logger().info(
                "reader not used",
                topic=topic.value,
                reader=name,
                age_s=None if fetched is None else round(fetched.page.age_s, 2),
            )
        return None
