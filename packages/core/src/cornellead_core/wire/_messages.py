"""Messages of the control protocol."""

from __future__ import annotations

from typing import NamedTuple
from typing import TypeAlias

from cornellead_core.load import DcSummary
from cornellead_core.load import LoadReport
from cornellead_core.platform import HostEntry

UNKNOWN_AGE_MS = 1 << 31


class Ack(NamedTuple):
    """Answer without content."""


class Report(NamedTuple):
    """Load report of an agent to its reporter; answered with `LoadExchange`."""

    dc: str
    own: LoadReport


class LoadExchange(NamedTuple):
    """Summaries that the sender knows; answered with the receiver's."""

    summaries: list[DcSummary]


class ConfigOffset(NamedTuple):
    """Offset in force at the sender; answered with records above it or a snapshot."""

    offset: int
    log_age_ms: int = UNKNOWN_AGE_MS
    """Time since the log had no record above the offset, as far as the sender knows."""


class ConfigRecords(NamedTuple):
    """Contiguous records of the configuration stream."""

    records: list[tuple[int, int, bytes]]
    """Offset, append time in Unix milliseconds, and value as JSON."""
    offset: int
    """Offset in force at the sender."""
    log_age_ms: int = UNKNOWN_AGE_MS
    """As in `ConfigOffset`."""


class ConfigStateRequest(NamedTuple):
    """Asks for the whole configuration; answered with `ConfigSnapshot`."""


class ConfigSnapshot(NamedTuple):
    """Whole configuration after applying all records up to an offset."""

    upto: int
    """-1 when the sender has no configuration."""
    state: bytes
    """State as JSON."""


class Hint(NamedTuple):
    """Tells the first server in a chat's order where the chat's cache went."""

    chat: int
    server: str


class TeamDemand(NamedTuple):
    """Demand of one team at one router."""

    team: str
    requests_per_s: float
    concurrent: int
    held_requests_per_s: float = 0.0
    """Leased share that the router uses now; an answer to it may have been lost."""
    held_concurrent: float = 0.0


class Demand(NamedTuple):
    """Demand of a router to the coordinator of some teams; answered with `Shares`."""

    router: str
    teams: list[TeamDemand]


class TeamShare(NamedTuple):
    """Part of a team's limit leased to one router."""

    team: str
    requests_per_s: float
    concurrent: float
    lease_s: float


class Shares(NamedTuple):
    """Leased shares for the asking router."""

    teams: list[TeamShare]


class HostDigest(NamedTuple):
    """Digest of the sender's host list; answered with `HostDigest` or `HostSnapshot`."""

    digest: int
    """64-bit hash, 0 when the sender has no list."""
    changed_ms: int
    """Time since a read of the platform showed the last change of the list."""
    read_ms: int
    """Time since a process read this list from the platform."""


class HostChanges(NamedTuple):
    """Difference between two host lists; answered with `HostDigest`."""

    digest: HostDigest
    """Digest after the changes."""
    upserts: list[HostEntry]
    removed: list[str]


class HostSnapshot(NamedTuple):
    """Whole host list of the sender."""

    digest: HostDigest
    hosts: list[HostEntry]


Message: TypeAlias = (
    Ack
    | Report
    | LoadExchange
    | ConfigOffset
    | ConfigRecords
    | ConfigStateRequest
    | ConfigSnapshot
    | Hint
    | Demand
    | Shares
    | HostDigest
    | HostChanges
    | HostSnapshot
)
