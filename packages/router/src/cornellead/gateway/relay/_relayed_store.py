"""A store of which most routers learn through others."""

from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING

import structlog
from returns.result import Failure
from returns.result import Result
from returns.result import Success

from cornellead.gateway.relay._change_log import ChangeLog
from cornellead.gateway.relay._relay_codec import decode_page
from cornellead.gateway.relay._relay_handler import PATH_PREFIX
from cornellead_core.placement import rank_members
from cornellead_core.routing import HistoryGone
from cornellead_core.routing import NoticeBatch
from cornellead_core.routing import Topic

if TYPE_CHECKING:
    from collections.abc import Callable

    from cornellead.gateway.beliefs import FleetView
    from cornellead.gateway.relay._change_log import RelayPage
    from cornellead_core.routing import FleetStore
    from cornellead_core.routing import HttpCaller
    from cornellead_core.routing import RouterPlace
    from cornellead_core.routing import StoreError

READERS = 1
"""Routers of each data centre that read the store. When one fails, the others read it themselves
until the next in rank counts as reader."""
TRUSTED_AGE_S = {Topic.OPERATOR: 1.2, Topic.SERVERS: 1.2, Topic.ROUTERS: 10.0}
"""Age up to which a page is taken: above the interval at which readers confirm the topic, and with
the time to notice a silent reader below the bound on changes of 2 s."""
LONGEST_WAIT_S = 0.4
"""Longest time for which a reader is asked to hold a read, so that a silent one is noticed soon."""
ANSWER_TIMEOUT_S = 0.3
"""Longest wait for an answer, besides the wait asked for: routers of a data centre are a
millisecond apart."""
PAUSE_S = 2.0
"""Time for which a router that did not answer, or whose pages were old, is not asked."""
OK = 200
MAX_ASKED = 4
"""Routers that are asked, all at once, when the store does not answer at a start."""


class RelayedStore:
    """Reads from the store if this router is a reader of its data centre, else from a reader.

    Load: hundreds of routers and a thousand servers whose entries are renewed every second. The
    readers read all of it; the others get the changes alone. When no reader answers with fresh
    notices, a router reads the store itself. A router that starts while the store is out takes what
    any other router knows, old as it is.

    :param data_centre: Data centre of this router.
    """

    def __init__(
        self,
        *,
        store: FleetStore,
        view: FleetView,
        http: HttpCaller,
        data_centre: str,
        clock: Callable[[], float],
    ) -> None:
        self._store = store
        self._view = view
        self._http = http
        self._data_centre = data_centre
        self._clock = clock
        self._paused_until: dict[tuple[str, Topic], float] = {}
        self.logs = {topic: ChangeLog() for topic in Topic}
        self.relayed = 0
        """Reads that another router answered."""

    async def read_newest(self, topic: Topic) -> Result[NoticeBatch, StoreError]:
        """Return the newest notice of each writer."""
        page = await self._ask_reader(topic, offset=None, wait_s=0.0)
        if page is not None:
            return Success(self._replace(topic, page))
        result = await self._store.read_newest(topic)
        if isinstance(result, Success):
            batch = result.unwrap()
            self.logs[topic].replace(batch.notices, batch.next_offset, now=self._clock())
            return result
        if self.logs[topic].known:
            return result
        old = await self._ask_anyone(topic)
        return result if old is None else Success(self._replace(topic, old))

    async def read_after(
        self, topic: Topic, *, offset: int, wait_s: float
    ) -> Result[NoticeBatch, StoreError | HistoryGone]:
        """Return the notices from an offset on, waiting for the first.

        :param wait_s: Longest wait in seconds; 0 returns at once.
        """
        page = await self._ask_reader(topic, offset=offset, wait_s=min(LONGEST_WAIT_S, wait_s))
        if page is not None:
            if page.whole:
                return Failure(HistoryGone(offset))
            now = self._clock() - page.age_s
            self.logs[topic].add(page.notices, page.next_offset, now=now)
            return Success(NoticeBatch(page.notices, page.next_offset, page.age_s))
        result = await self._store.read_after(topic, offset=offset, wait_s=wait_s)
        if isinstance(result, Success):
            batch = result.unwrap()
            self.logs[topic].add(batch.notices, batch.next_offset, now=self._clock())
        return result

    async def announce(self, router: str, place: RouterPlace | None) -> Result[None, StoreError]:
        """Write that a router runs, and where, or that it stops."""
        return await self._store.announce(router, place)

    def _replace(self, topic: Topic, page: RelayPage) -> NoticeBatch:
        now = self._clock() - page.age_s
        self.logs[topic].replace(page.notices, page.next_offset, now=now)
        return NoticeBatch(page.notices, page.next_offset, page.age_s)

    async def _ask_anyone(self, topic: Topic) -> RelayPage | None:
        """Ask a few routers of any data centre and return the newest of what they know."""
        peers = [place.address for place in self._view.peers(now=self._clock()).values()]
        asked = random.sample(peers, min(MAX_ASKED, len(peers)))
        answers = await asyncio.gather(
            *(self._fetch(address, topic, offset=None, wait_s=0.0) for address in asked)
        )
        pages = [page for page in answers if page is not None]
        return min(pages, key=lambda page: page.age_s, default=None)

    def _readers(self) -> dict[str, str]:
        """Return names and addresses of the readers of this data centre, none for a reader."""
        peers = {
            name: place.address
            for name, place in self._view.peers(now=self._clock()).items()
            if place.data_centre == self._data_centre
        }
        ranked = rank_members(self._data_centre, {*peers, self._view.router})[:READERS]
        return {} if self._view.router in ranked else {name: peers[name] for name in ranked}

    async def _ask_reader(
        self, topic: Topic, *, offset: int | None, wait_s: float
    ) -> RelayPage | None:
        for name, address in self._readers().items():
            if self._clock() < self._paused_until.get((name, topic), 0.0):
                continue
            page = await self._fetch(address, topic, offset=offset, wait_s=wait_s)
            if page is not None and page.age_s <= TRUSTED_AGE_S[topic]:
                self.relayed += 1
                return page
            self._paused_until[name, topic] = self._clock() + PAUSE_S
            structlog.get_logger().info(
                "reader not used",
                topic=topic.value,
                reader=name,
                age_s=None if page is None else round(page.age_s, 2),
            )
        return None

    async def _fetch(
        self, address: str, topic: Topic, *, offset: int | None, wait_s: float
    ) -> RelayPage | None:
        query = "" if offset is None else f"?after={offset}&wait={wait_s:.2f}"
        target = f"{PATH_PREFIX}{topic.value}{query}"
        result = await self._http.call(address, "GET", target, timeout_s=wait_s + ANSWER_TIMEOUT_S)
        if isinstance(result, Failure) or result.unwrap().status != OK:
            return None
        return decode_page(result.unwrap().body)
