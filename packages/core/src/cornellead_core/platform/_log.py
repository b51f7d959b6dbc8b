"""The append-only log service of the platform."""

from __future__ import annotations

from enum import StrEnum
from typing import TYPE_CHECKING
from typing import Any
from typing import NamedTuple
from typing import Protocol

if TYPE_CHECKING:
    from collections.abc import Mapping
    from collections.abc import Sequence

    from returns.result import Result


class PlatformError(NamedTuple):
    """A read from the platform failed; it had no effect."""

    message: str


class AppendError(StrEnum):
    """Why an append did not return an offset."""

    REJECTED = "rejected"
    """The log answered that it stored nothing (outage or append rate)."""
    UNKNOWN = "unknown"
    """No answer; the records may be stored now or later."""


class LogRecord(NamedTuple):
    """One record of a stream."""

    offset: int
    time_ms: int
    """Unix time of the append by the clock of the log service."""
    value: dict[str, Any]


class LogPage(NamedTuple):
    """Records read from a stream."""

    records: list[LogRecord]
    next_offset: int
    """Offset to read from next."""
    oldest_offset: int
    """Oldest offset still kept; earlier records were dropped."""
    end_offset: int
    """Offset that the next append gets."""
    retention_s: float
    time_ms: int
    """Unix time of the answer by the clock of the log service."""


class Log(Protocol):
    """Append and read; the first record of a stream has offset 0."""

    async def append(
        self, stream: str, values: Sequence[Mapping[str, Any]]
    ) -> Result[int, AppendError]:
        """Append records and return the offset of the first."""
        ...

    async def read(
        self, stream: str, *, from_offset: int, limit: int = 1000, wait_s: float = 0.0
    ) -> Result[LogPage, PlatformError]:
        """Read records, waiting up to ``wait_s`` seconds for the first."""
        ...
