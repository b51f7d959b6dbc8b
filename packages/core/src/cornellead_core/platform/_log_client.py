"""Interface to the platform's append-only log service."""

from __future__ import annotations

from enum import StrEnum
from typing import TYPE_CHECKING
from typing import Any
from typing import NamedTuple
from typing import Protocol

from cornellead_core.routing import UNKNOWN_ERA

if TYPE_CHECKING:
    from collections.abc import Mapping
    from collections.abc import Sequence

    from returns.result import Result


class PlatformError(NamedTuple):
    """A read from the platform failed; reads have no side effects and may be retried."""

    message: str


class AppendError(StrEnum):
    """Why an append did not return an offset."""

    REJECTED = "rejected"
    """Nothing was stored: the log service is unreachable, down or over its append rate."""
    UNKNOWN = "unknown"
    """There was no usable response; the records may already be stored or be stored later."""


class LogRecord(NamedTuple):
    """A record of a stream."""

    offset: int
    time_ms: int
    """Unix time of the append in ms, by the clock of the log service."""
    value: dict[str, Any]


class LogPage(NamedTuple):
    """Records of one read, and the state of the stream at that time."""

    records: list[LogRecord]
    next_offset: int
    """Offset at which the next read continues."""
    oldest_offset: int
    """Offset of the oldest retained record; earlier records have been dropped."""
    end_offset: int
    """Offset that the next appended record gets."""
    retention_s: float
    """Time for which the log service retains records."""
    time_ms: int
    """Unix time of the response in ms, by the clock of the log service."""
    era: int = UNKNOWN_ERA
    """Number of the history, which rises each time the log comes back from an older copy."""
    restored_ms: int = 0
    """Unix time in ms, by the same clock, at which the log last came back from a copy; else 0.

    Earlier appends may be missing.
    """


class LogClient(Protocol):
    """Client of the log service; the first record of each stream has offset 0."""

    async def append(
        self, stream: str, values: Sequence[Mapping[str, Any]]
    ) -> Result[int, AppendError]:
        """Append records to a stream.

        :returns: Offset of the first record.
        """
        ...

    async def read(
        self, stream: str, *, from_offset: int, limit: int = 1000, wait_s: float = 0.0
    ) -> Result[LogPage, PlatformError]:
        """Read records of a stream, oldest first.

        :param limit: Maximum number of records.
        :param wait_s: Maximum wait in seconds if there are no records yet; 0 returns at once.
        """
        ...
