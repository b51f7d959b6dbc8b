"""Interface to what operators, servers and routers write to the platform's store."""

from __future__ import annotations

from enum import StrEnum
from typing import TYPE_CHECKING
from typing import NamedTuple
from typing import Protocol

from cornellead_core.routing._routing_config import RoutingData
from cornellead_core.routing._server_entry import ServerEntry

if TYPE_CHECKING:
    from returns.result import Result


class Topic(StrEnum):
    """Stream of notices in the store; each keeps the newest notice of each writer."""

    OPERATOR = "operator"
    """Routing configuration and data centres out of service."""
    SERVERS = "servers"
    """Entries of the servers."""
    ROUTERS = "routers"
    """Routers that are running."""


class RoutingNotice(NamedTuple):
    """A version of the routing configuration; ``None`` if it could not be read."""

    data: RoutingData | None
    problem: str


class DataCentreNotice(NamedTuple):
    """A data centre was taken out of service or put back."""

    data_centre: str
    out: bool


class ServerNotice(NamedTuple):
    """Entry of a server; ``None`` if the entry was removed or names no usable server."""

    server: str
    entry: ServerEntry | None
    removed: bool


class RouterPlace(NamedTuple):
    """Where a router runs."""

    address: str
    """``ip:port`` for other routers."""
    data_centre: str


class RouterNotice(NamedTuple):
    """A router announced that it runs, or that it stops."""

    router: str
    place: RouterPlace | None
    """``None`` if it stops."""


Notice = RoutingNotice | DataCentreNotice | ServerNotice | RouterNotice


CURRENT_AGE_S = 2.0
"""Age up to which notices count as current: the shortest bound on putting changes into force."""


class NoticeBatch(NamedTuple):
    """Notices in the order in which the store accepted them."""

    notices: list[Notice]
    next_offset: int
    """Offset to read from next."""
    age_s: float = 0.0
    """Time since the store confirmed them; above 0 if another router passed them on."""

    @property
    def current(self) -> bool:
        """Whether they are as good as read from the store."""
        return self.age_s <= CURRENT_AGE_S


class HistoryGone(NamedTuple):
    """The store no longer has the records after the offset; read the newest ones instead."""

    offset: int


class StoreError(NamedTuple):
    """A call to the store failed or got no answer."""

    message: str


class FleetStore(Protocol):
    """Reads notices and announces routers."""

    async def read_newest(self, topic: Topic) -> Result[NoticeBatch, StoreError]:
        """Return the newest notice of each writer."""
        ...

    async def read_after(
        self, topic: Topic, *, offset: int, wait_s: float
    ) -> Result[NoticeBatch, StoreError | HistoryGone]:
        """Return the notices from an offset on, waiting for the first.

        :param wait_s: Longest wait in seconds; 0 returns at once.
        """
        ...

    async def announce(self, router: str, place: RouterPlace | None) -> Result[None, StoreError]:
        """Write that a router runs, and where, or that it stops."""
        ...
