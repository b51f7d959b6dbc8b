"""Interface to the platform's store, to which operators, servers and routers write notices."""

from __future__ import annotations

from enum import StrEnum
from typing import TYPE_CHECKING
from typing import NamedTuple
from typing import Protocol

from cornellead_core.routing._position import UNKNOWN_ERA
from cornellead_core.routing._position import Position
from cornellead_core.routing._rollout import RolloutNotice
from cornellead_core.routing._rollout import RolloutOrderNotice
from cornellead_core.routing._rollout import RolloutRecord
from cornellead_core.routing._routing_config import RoutingData
from cornellead_core.routing._server_entry import EntryCount
from cornellead_core.routing._server_entry import ServerEntry

if TYPE_CHECKING:
    from returns.result import Result


class Topic(StrEnum):
    """Stream of notices in the store, which retains the newest notice of each writer."""

    OPERATOR = "operator"
    """Routing configuration and data centres out of service."""
    SERVERS = "servers"
    """Registry entries of the servers."""
    ROUTERS = "routers"
    """Addresses of the running routers, and the prompt parts that they quarantined."""
    ROLLOUTS = "rollouts"
    """State of the rollouts of services; read only while there is an order."""


class RoutingNotice(NamedTuple):
    """New version of the routing configuration."""

    data: RoutingData | None
    """``None`` if the configuration could not be decoded."""
    problem: str
    """Error message if the configuration could not be decoded."""


class DataCentreNotice(NamedTuple):
    """Change of the service state of a data centre."""

    data_centre: str
    out: bool
    """Whether the data centre is out of service."""


class ServerNotice(NamedTuple):
    """Change of a server's registry entry."""

    server: str
    entry: ServerEntry | None
    """``None`` if the entry was removed or is invalid."""
    removed: bool


class RouterLocation(NamedTuple):
    """Address, data centre and link of a router."""

    address: str
    """``ip:port`` for other routers."""
    data_centre: str
    link_mbps: float = 0.0
    """Bandwidth of the host's link in Mbit/s; 0 if unknown."""


class RouterNotice(NamedTuple):
    """Start or shutdown of a router."""

    router: str
    location: RouterLocation | None
    """Location of the running router; ``None`` if the router shuts down."""


class QuarantineMark(NamedTuple):
    """Decision of a router to refuse requests with a prompt part."""

    strikes: int
    """Number of quarantines of the part, this one included."""
    crashes: int
    """Crashes of servers that led to it."""
    since_ms: int
    """Time of the latest crash in Unix milliseconds."""


class QuarantineNotice(NamedTuple):
    """Start or end of the quarantine of a prompt part."""

    part: str
    mark: QuarantineMark | None
    """``None`` if the quarantine was lifted."""


Notice = (
    RoutingNotice
    | DataCentreNotice
    | ServerNotice
    | RouterNotice
    | QuarantineNotice
    | RolloutOrderNotice
    | RolloutNotice
)


CURRENT_AGE_S = 2.0
"""Age up to which notices count as current: the shortest deadline for applying a change."""


class ReadStats(NamedTuple):
    """How a batch was read, for logs and metrics."""

    source: str
    """``store``, or the name of the router that relayed the batch."""
    body_bytes: int
    wait_s: float
    """Time until the response began, including the time for which it was held."""
    transfer_s: float
    """Time from the start to the end of the response."""
    decode_s: float


STORE_SOURCE = "store"
"""`ReadStats.source` of batches that were read from the store itself."""


class UnreadableRecord(NamedTuple):
    """Record that could not be decoded, or whose values are not plausible."""

    key: str
    reason: str
    """Error message, cut to a bounded length."""


class NoticeBatch(NamedTuple):
    """Notices in the order of their offsets in the store."""

    notices: list[Notice]
    next_offset: int
    """Offset at which to continue reading."""
    age_s: float = 0.0
    """Time since the store sent them: the time to receive them, and to relay them if another router
    read them."""
    records_left: int = 0
    """Later records that the topic contained already. Unless 0, the notices are not its newest
    state, and the rest is to be read with `read_newest`."""
    read: ReadStats | None = None
    unreadable: tuple[UnreadableRecord, ...] = ()
    """Records of the store that name nothing to use; empty if another router relayed the batch."""
    era: int = UNKNOWN_ERA
    """History of the store that they belong to."""
    counts: tuple[EntryCount, ...] = ()
    """Latest writes of servers that are listed no longer."""
    not_stored: tuple[Notice, ...] = ()
    """What is in force at other routers, and may have been lost when the store was restored."""

    @property
    def position(self) -> Position:
        """Where to continue reading."""
        return Position(self.next_offset, self.era)

    @property
    def is_current(self) -> bool:
        """Whether the notices are recent enough to count as read from the store."""
        return self.age_s <= CURRENT_AGE_S


class OffsetExpired(NamedTuple):
    """The store no longer retains the record at the offset; continue with `read_newest`."""

    offset: int
    era: int = UNKNOWN_ERA
    """Era of the store or router that said so."""
    settled: bool = False
    """Whether the offset is retained, and the newest records are to be read again since the store
    has got back what it lost when it was restored."""


class StoreError(NamedTuple):
    """A request to the store failed or timed out."""

    message: str


class FleetStore(Protocol):
    """Client of the platform's store."""

    async def read_newest(self, topic: Topic) -> Result[NoticeBatch, StoreError]:
        """Return the newest notice of each writer to a topic."""
        ...

    async def read_after(
        self, topic: Topic, *, position: Position, wait_s: float
    ) -> Result[NoticeBatch, StoreError | OffsetExpired]:
        """Return the next notices from a position on, with long polling.

        :param wait_s: Maximum time to wait for the first notice; 0 returns immediately.
        """
        ...

    async def announce(
        self, router: str, location: RouterLocation | None
    ) -> Result[int, StoreError]:
        """Announce the location of a running router; ``None`` announces its shutdown.

        :returns: The era that the store named.
        """
        ...

    async def publish_quarantine(
        self, part: str, mark: QuarantineMark | None
    ) -> Result[None, StoreError]:
        """Publish the quarantine of a prompt part; ``None`` publishes its end."""
        ...


class RolloutStore(Protocol):
    """Client of the store for the router that decides on a rollout."""

    async def read_newest(self, topic: Topic) -> Result[NoticeBatch, StoreError]:
        """Return the newest notice of each writer to a topic."""
        ...

    async def append_rollout(
        self, service: str, record: RolloutRecord, *, at: int
    ) -> Result[bool, StoreError]:
        """Append the state of a rollout if the topic still ends at an offset.

        :param at: End of the topic that the decision is based on.
        :returns: Whether the record was appended; false if the topic had a later record. After an
            error it may have been appended, or may be as long as the topic ends there.
        """
        ...

    async def publish_rollout_status(
        self, service: str, record: RolloutRecord
    ) -> Result[None, StoreError]:
        """Write the status that operators read."""
        ...


class GatewayStore(FleetStore, RolloutStore, Protocol):
    """Client of the store with all calls that a gateway makes."""
