"""The configuration stream as an operator's command reads it."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple

from returns.result import Failure
from returns.result import Result
from returns.result import Success

from cornellead_core.config import STREAM
from cornellead_core.config import AuditRecord
from cornellead_core.config import ChangeRecord
from cornellead_core.config import ConfigState
from cornellead_core.config import Verdict
from cornellead_core.config import parse_change
from cornellead_core.config import reduce_record
from cornellead_core.distribution import find_snapshot
from cornellead_core.platform import LogRecord

if TYPE_CHECKING:
    from cornellead_core.platform import Log
    from cornellead_core.platform import PlatformError

PAGE_RECORDS = 500


class Decided(NamedTuple):
    """A change on the log and the decision on it."""

    record: LogRecord
    audit: AuditRecord


class ConfigHistory:
    """Follows the stream through the same reducer as every process of the fleet."""

    def __init__(self, *, log: Log) -> None:
        self._log = log
        self.state = ConfigState()
        self.decided: list[Decided] = []
        """Changes since the start of the log or the snapshot that the reading began from."""

    async def refresh(self) -> Result[ConfigState, PlatformError]:
        """Read up to the end of the stream."""
        while True:
            offset = self.state.offset + 1
            read = await self._log.read(STREAM, from_offset=offset, limit=PAGE_RECORDS)
            if not isinstance(read, Success):
                return Failure(read.failure())
            page = read.unwrap()
            if page.oldest_offset > offset:
                found = await find_snapshot(self._log)
                if not isinstance(found, Success):
                    return Failure(found.failure())
                self.state = found.unwrap().state
                await self._read_earlier(page.oldest_offset)
                continue
            for record in page.records:
                self.state, audit = reduce_record(self.state, record)
                if audit is not None:
                    self.decided.append(Decided(record, audit))
            if self.state.offset + 1 >= page.end_offset or not page.records:
                return Success(self.state)

    async def _read_earlier(self, offset: int) -> None:
        """Add the decisions that the snapshot holds on changes before it, as far as kept."""
        verdicts = {item.offset: item for item in self.state.recent}
        while offset <= self.state.offset:
            read = await self._log.read(STREAM, from_offset=offset, limit=PAGE_RECORDS)
            if not isinstance(read, Success) or not read.unwrap().records:
                return
            for record in read.unwrap().records:
                verdict = verdicts.get(record.offset)
                parsed = parse_change(record.value, offset=record.offset).value_or(None)
                if verdict is not None and parsed is not None:
                    self.decided.append(Decided(record, _make_audit(record, parsed, verdict)))
            offset = read.unwrap().next_offset

    def find(self, change_id: str) -> AuditRecord | None:
        """Return the first decision on a change, if it is on the log."""
        return next(
            (item.audit for item in self.decided if item.audit.change_id == change_id), None
        )


def _make_audit(record: LogRecord, change: ChangeRecord, verdict: Verdict) -> AuditRecord:
    return AuditRecord(
        offset=record.offset,
        time_ms=record.time_ms,
        change_id=change.change_id,
        author=change.author,
        base=change.base,
        objects=tuple(sorted(change.objects)),
        previous=(),
        accepted=not verdict.reason,
        reason=verdict.reason,
    )
