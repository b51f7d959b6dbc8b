"""Access to the store, for most routers through another router of their data centre."""

from __future__ import annotations

import asyncio
import random
import time
from typing import TYPE_CHECKING
from typing import NamedTuple

import structlog
from returns.result import Failure
from returns.result import Result
from returns.result import Success

from cornellead.gateway.relay._change_log import ChangeLog
from cornellead.gateway.relay._change_log import RelayPage
from cornellead.gateway.relay._relay_codec import decode_page
from cornellead.gateway.relay._relay_handler import PATH_PREFIX
from cornellead_core.placement import rank_members
from cornellead_core.routing import NoticeBatch
from cornellead_core.routing import OffsetExpired
from cornellead_core.routing import ReadStats
from cornellead_core.routing import Topic

if TYPE_CHECKING:
    from collections.abc import Callable

    from cornellead.gateway.view import FleetView
    from cornellead_core.routing import FleetStore
    from cornellead_core.routing import HttpClient
    from cornellead_core.routing import RouterLocation
    from cornellead_core.routing import StoreError

READERS_PER_DATA_CENTRE = 1
"""Routers in each data centre that read the store. When one fails, the others read the store
themselves until the next router in rank has become the reader."""
MAX_PAGE_AGE_S = {Topic.OPERATOR: 1.2, Topic.SERVERS: 1.2, Topic.ROUTERS: 10.0}
"""Maximum age of a page that is used: longer than the interval at which readers confirm the topic.
For operators' changes and servers, this age plus the time to detect an unresponsive reader is below
2 s, within which a change must take effect."""
MAX_WAIT_S = 0.4
"""Maximum time for which a reader is asked to hold a read, so that an unresponsive reader is
detected quickly."""
RESPONSE_TIMEOUT_S = 0.3
"""Response timeout in addition to the requested hold time: the round trip between routers of a data
centre takes about a millisecond."""
READER_BACKOFF_S = 2.0
"""Time for which a reader is skipped after it did not respond or returned an old page."""
HTTP_OK = 200
MAX_QUERIED_PEERS = 4
"""Number of routers queried concurrently when the store is unavailable at startup."""


class _FetchedPage(NamedTuple):
    page: RelayPage
    read: ReadStats

    @property
    def age_s(self) -> float:
        """Time since the store sent the notices, with the transfer from the other router."""
        return self.page.age_s + self.read.transfer_s + self.read.decode_s


class RelayedStore:
    """Reads the store directly if this router is a reader of its data centre, else via a reader.

    This limits traffic with hundreds of routers and a thousand servers whose entries are renewed
    every second: only the readers receive every renewal, and the other routers receive just the
    changes. If no reader returns recent notices, a router reads the store itself. A router that
    starts during a store outage uses the notices of any other router, even old ones.

    :param data_centre: Data centre of this router.
    """

    def __init__(
        self,
        *,
        store: FleetStore,
        view: FleetView,
        http: HttpClient,
        data_centre: str,
        clock: Callable[[], float],
    ) -> None:
        self._store = store
        self._view = view
        self._http = http
        self._data_centre = data_centre
        self._clock = clock
        self._backoff_until: dict[tuple[str, Topic], float] = {}
        self.logs = {topic: ChangeLog() for topic in Topic}
        self.relayed = 0
        """Number of reads served by another router."""

    async def read_newest(self, topic: Topic) -> Result[NoticeBatch, StoreError]:
        """Return the newest notice of each writer."""
        fetched = await self._query_reader(topic, offset=None, wait_s=0.0)
        if fetched is not None:
            return Success(self._apply_snapshot(topic, fetched))
        result = await self._store.read_newest(topic)
        if isinstance(result, Success):
            batch = result.unwrap()
            sent_at = self._clock() - batch.age_s
            self.logs[topic].replace(batch.notices, batch.next_offset, now=sent_at)
            return result
        if self.logs[topic].loaded:
            return result
        old = await self._query_any_peer(topic)
        return result if old is None else Success(self._apply_snapshot(topic, old))

    async def read_after(
        self, topic: Topic, *, offset: int, wait_s: float
    ) -> Result[NoticeBatch, StoreError | OffsetExpired]:
        """Return the notices since an offset, waiting for the first one.

        :param wait_s: Maximum wait in seconds; 0 returns immediately.
        """
        fetched = await self._query_reader(topic, offset=offset, wait_s=min(MAX_WAIT_S, wait_s))
        if fetched is not None:
            if fetched.page.snapshot:
                return Failure(OffsetExpired(offset))
            return Success(self._apply_changes(topic, fetched))
        result = await self._store.read_after(topic, offset=offset, wait_s=wait_s)
        if isinstance(result, Success):
            batch = result.unwrap()
            self.logs[topic].add(
                batch.notices,
                batch.next_offset,
                now=self._clock() - batch.age_s,
                complete=batch.records_left == 0,
            )
        return result

    async def announce(
        self, router: str, location: RouterLocation | None
    ) -> Result[None, StoreError]:
        """Announce a router in the store.

        :param location: Where the router runs; ``None`` if it is stopping.
        """
        return await self._store.announce(router, location)

    def _apply_snapshot(self, topic: Topic, fetched: _FetchedPage) -> NoticeBatch:
        page, age_s = fetched.page, fetched.age_s
        self.logs[topic].replace(page.notices, page.next_offset, now=self._clock() - age_s)
        return NoticeBatch(page.notices, page.next_offset, age_s, read=fetched.read)

    def _apply_changes(self, topic: Topic, fetched: _FetchedPage) -> NoticeBatch:
        page, age_s = fetched.page, fetched.age_s
        self.logs[topic].add(page.notices, page.next_offset, now=self._clock() - age_s)
        return NoticeBatch(page.notices, page.next_offset, age_s, read=fetched.read)

    async def _query_any_peer(self, topic: Topic) -> _FetchedPage | None:
        """Query a few routers of any data centre and return the most recently confirmed page."""
        peers = list(self._view.peers(now=self._clock()).items())
        queried = random.sample(peers, min(MAX_QUERIED_PEERS, len(peers)))
        responses = await asyncio.gather(
            *(
                self._fetch(name, location.address, topic, offset=None, wait_s=0.0)
                for name, location in queried
            )
        )
        pages = [fetched for fetched in responses if fetched is not None]
        return min(pages, key=lambda fetched: fetched.page.age_s, default=None)

    def _readers(self) -> dict[str, str]:
        """Return the addresses of this data centre's readers by name; empty if this router is
        one."""
        peers = {
            name: location.address
            for name, location in self._view.peers(now=self._clock()).items()
            if location.data_centre == self._data_centre
        }
        ranked = rank_members(self._data_centre, {*peers, self._view.router})[
            :READERS_PER_DATA_CENTRE
        ]
        return {} if self._view.router in ranked else {name: peers[name] for name in ranked}

    async def _query_reader(
        self, topic: Topic, *, offset: int | None, wait_s: float
    ) -> _FetchedPage | None:
        for name, address in self._readers().items():
            if self._clock() < self._backoff_until.get((name, topic), 0.0):
                continue
            fetched = await self._fetch(name, address, topic, offset=offset, wait_s=wait_s)
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

    async def _fetch(
        self, name: str, address: str, topic: Topic, *, offset: int | None, wait_s: float
    ) -> _FetchedPage | None:
        query = "" if offset is None else f"?after={offset}&wait={wait_s:.2f}"
        target = f"{PATH_PREFIX}{topic.value}{query}"
        result = await self._http.call(
            address, "GET", target, timeout_s=wait_s + RESPONSE_TIMEOUT_S
        )
        if isinstance(result, Failure) or result.unwrap().status != HTTP_OK:
            return None
        response = result.unwrap()
        decode_started_at = time.perf_counter()
        page = decode_page(response.body)
        if page is None:
            return None
        read = ReadStats(
            source=name,
            body_bytes=len(response.body),
            wait_s=response.wait_s,
            transfer_s=response.transfer_s,
            decode_s=time.perf_counter() - decode_started_at,
        )
        return _FetchedPage(page, read)
