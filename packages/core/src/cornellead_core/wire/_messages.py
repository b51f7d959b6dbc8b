"""Messages of the control protocol.

Messages are encoded as arrays: the order of the fields is the wire format, their names are not.
"""

from __future__ import annotations

from typing import NamedTuple
from typing import TypeAlias

from cornellead_core.load import DcSummary
from cornellead_core.load import LoadReport
from cornellead_core.platform import HostEntry

UNKNOWN_AGE_MS = 1 << 31


class Ack(NamedTuple):
    """Empty reply."""


class LoadReportMessage(NamedTuple):
    """Load report of an agent to the reporter of its group; the reply is `LoadExchange`."""

    dc: str
    own: LoadReport


class LoadExchange(NamedTuple):
    """Latest load summaries at the sender; the reply has those of the receiver."""

    summaries: list[DcSummary]


class ConfigOffset(NamedTuple):
    """Configuration offset of the sender; the reply has the records after it, or a snapshot."""

    offset: int
    log_age_ms: int = UNKNOWN_AGE_MS
    """Time since any process last read the log's end, as far as the sender knows.

    At that time the log had no record after `offset`.
    """


class ConfigRecords(NamedTuple):
    """Contiguous records of the configuration stream, pushed or sent as a reply."""

    records: list[tuple[int, int, bytes]]
    """Triples of offset, append time in Unix milliseconds, and value as JSON."""
    offset: int
    """Configuration offset of the sender."""
    log_age_ms: int = UNKNOWN_AGE_MS
    """Same as in `ConfigOffset`."""


class ConfigStateRequest(NamedTuple):
    """Request for the whole configuration state; the reply is `ConfigSnapshot`."""


class ConfigSnapshot(NamedTuple):
    """Whole configuration state after applying all records up to an offset."""

    offset: int
    """Offset of the last applied record; -1 if the sender has no configuration."""
    state: bytes
    """State, and append time of the oldest log record that a new process needs, as JSON."""


class CacheHint(NamedTuple):
    """Tells the first server in a chat's placement order which server has the chat's cache now."""

    chat: int
    server: str


class TeamDemand(NamedTuple):
    """Request rate and concurrency of one team at one router."""

    team: str
    requests_per_s: float
    concurrent: int
    held_requests_per_s: float = 0.0
    """Leased share that the router holds; the coordinator may not know it after a lost reply."""
    held_concurrent: float = 0.0


class ShareRequest(NamedTuple):
    """Demand of a router, sent to the coordinator of the limits; the reply is `ShareLeases`."""

    router: str
    teams: list[TeamDemand]


class TeamShare(NamedTuple):
    """Part of a team's limits that is leased to one router."""

    team: str
    requests_per_s: float
    concurrent: float
    lease_s: float


class ShareLeases(NamedTuple):
    """Shares leased to the router that sent the demand."""

    teams: list[TeamShare]


class HostDigest(NamedTuple):
    """Digest of the sender's host list.

    The reply is `HostSnapshot` if the receiver's list differs and changed later, else `HostDigest`.
    """

    digest: int
    """64-bit hash; 0 if the sender has no list."""
    change_age_ms: int
    """Time since the last change of the list was read from the platform."""
    read_age_ms: int
    """Time since any process last read this list from the platform."""


class HostChanges(NamedTuple):
    """Changes of the host list; the reply is `HostDigest`."""

    digest: HostDigest
    """Digest of the list after the changes."""
    upserts: list[HostEntry]
    removed: list[str]


class HostSnapshot(NamedTuple):
    """Whole host list of the sender."""

    digest: HostDigest
    hosts: list[HostEntry]


Message: TypeAlias = (
    Ack
    | LoadReportMessage
    | LoadExchange
    | ConfigOffset
    | ConfigRecords
    | ConfigStateRequest
    | ConfigSnapshot
    | CacheHint
    | ShareRequest
    | ShareLeases
    | HostDigest
    | HostChanges
    | HostSnapshot
)
