"""Search of the log for a snapshot from which its remaining records can be replayed."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple

from returns.result import Failure
from returns.result import Result
from returns.result import Success

from cornellead_core.config import STREAM
from cornellead_core.config import ConfigState
from cornellead_core.config import parse_snapshot
from cornellead_core.platform import PlatformError

if TYPE_CHECKING:
    from cornellead_core.platform import LogClient

PAGE_RECORDS = 500


class FoundSnapshot(NamedTuple):
    """State of a snapshot record and when the record was appended."""

    state: ConfigState
    time_ms: int
    """Append time of the snapshot record, in Unix milliseconds."""


async def find_snapshot(log: LogClient) -> Result[FoundSnapshot, PlatformError]:
    """Find the earliest snapshot after which the log still holds every record.

    Starting from the earliest one, the reader can verify all later snapshots against the state that
    it has replayed.
    """
    offset = 0
    while True:
        read = await log.read(STREAM, from_offset=offset, limit=PAGE_RECORDS)
        if not isinstance(read, Success):
            return Failure(read.failure())
        page = read.unwrap()
        for record in page.records:
            state = parse_snapshot(record.value).value_or(None)
            if state is not None and page.oldest_offset <= state.offset + 1 <= record.offset:
                return Success(FoundSnapshot(state, record.time_ms))
        if not page.records or page.next_offset >= page.end_offset:
            return Failure(PlatformError("the log holds no snapshot to start from"))
        offset = page.next_offset
