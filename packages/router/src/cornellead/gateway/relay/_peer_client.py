"""Requests for the notices of other routers."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING
from typing import NamedTuple
from urllib.parse import urlencode

from returns.result import Failure

from cornellead.gateway.relay._change_log import RelayPage
from cornellead.gateway.relay._relay_codec import decode_page
from cornellead.gateway.relay._relay_handler import ERA_HEADER
from cornellead.gateway.relay._relay_handler import PATH_PREFIX
from cornellead_core.routing import UNKNOWN_ERA
from cornellead_core.routing import NoticeBatch
from cornellead_core.routing import ReadStats
from cornellead_core.routing import parse_era

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Mapping

    from cornellead.gateway.view import FleetView
    from cornellead_core.routing import HttpClient
    from cornellead_core.routing import Position
    from cornellead_core.routing import Topic

RESPONSE_TIMEOUT_S = 0.3
"""Response timeout in addition to the requested hold time: the round trip between routers of a data
centre takes about a millisecond."""
HTTP_OK = 200


class FetchedPage(NamedTuple):
    """Page of another router and how it was read."""

    page: RelayPage
    read: ReadStats

    @property
    def age_s(self) -> float:
        """Time since the store sent the notices, with the transfer from the other router."""
        return self.page.age_s + self.read.transfer_s + self.read.decode_s

    def to_batch(self) -> NoticeBatch:
        """Return the notices as those of a read of the store."""
        page = self.page
        batch = NoticeBatch(page.notices, page.next_offset, self.age_s, read=self.read)
        return batch._replace(era=page.era, counts=page.counts)


class PeerClient:
    """Reads pages of other routers, and renews the routers that respond."""

    def __init__(self, *, view: FleetView, http: HttpClient, clock: Callable[[], float]) -> None:
        self._view = view
        self._http = http
        self._clock = clock

    async def fetch_youngest(
        self,
        addresses: Mapping[str, str],
        topic: Topic,
        *,
        position: Position | None,
        wait_s: float,
        ended: bool = False,
    ) -> FetchedPage | None:
        """Query routers concurrently and return the page of the latest era, and among these the
        most recently confirmed one."""
        responses = await asyncio.gather(
            *(
                self.fetch(name, address, topic, position=position, wait_s=wait_s, ended=ended)
                for name, address in addresses.items()
            )
        )
        pages = [fetched for fetched in responses if fetched is not None]
        return min(pages, key=lambda fetched: (-fetched.page.era, fetched.page.age_s), default=None)

    async def fetch(
        self,
        name: str,
        address: str,
        topic: Topic,
        *,
        position: Position | None,
        wait_s: float,
        as_reader: bool = False,
        ended: bool = False,
    ) -> FetchedPage | None:
        """Read the notices of another router.

        :param ended: Whether to ask for the counts of all servers that were removed recently.
        :param as_reader: Whether to rely on the other router to read the store.
        """
        query = {"versions": "1", "counts": "1"}
        if as_reader:
            query["reader"] = "1"
        if ended:
            query["ended"] = "1"
        if position is not None:
            query["after"] = str(position.offset)
        era = self._view.history.latest(topic)
        if era != UNKNOWN_ERA:
            query["era"] = str(era)
        if wait_s > 0:
            query["wait"] = f"{wait_s:.2f}"
        target = f"{PATH_PREFIX}{topic.value}?{urlencode(query)}"
        result = await self._http.call(
            address, "GET", target, timeout_s=wait_s + RESPONSE_TIMEOUT_S
        )
        if isinstance(result, Failure) or result.unwrap().status != HTTP_OK:
            return None
        response = result.unwrap()
        decode_started_at = time.perf_counter()
        page = decode_page(response.body)
        page_era = parse_era(response.headers.get(ERA_HEADER.lower(), ""))
        if page is None or not self._view.history.meet_at_router(
            topic, page_era, now=self._clock(), as_reader=as_reader
        ):
            return None
        read = ReadStats(
            source=name,
            body_bytes=len(response.body),
            wait_s=response.wait_s,
            transfer_s=response.transfer_s,
            decode_s=time.perf_counter() - decode_started_at,
        )
        self._view.renew_router(name, now=self._clock())
        return FetchedPage(page._replace(era=page_era), read)
