"""Reader of the configuration stream for the command line."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple

from returns.result import Failure
from returns.result import Result
from returns.result import Success

from cornellead_core.config import STREAM
from cornellead_core.config import AuditRecord
from cornellead_core.config import ChangeDecision
from cornellead_core.config import ChangeRecord
from cornellead_core.config import ConfigState
from cornellead_core.config import parse_change
from cornellead_core.config import reduce_record
from cornellead_core.distribution import find_snapshot
from cornellead_core.distribution import first_number
from cornellead_core.platform import LogRecord
from cornellead_core.routing import UNKNOWN_ERA
from cornellead_core.routing import are_different

if TYPE_CHECKING:
    from cornellead_core.platform import LogClient
    from cornellead_core.platform import PlatformError

RECORDS_PER_READ = 500


class DecidedChange(NamedTuple):
    """A change on the log, and whether it was accepted."""

    record: LogRecord
    audit: AuditRecord


class ConfigHistory:
    """Reads the configuration stream with the reducer that all processes of the fleet use.

    The command line therefore comes to the same decisions on changes as the fleet does.
    """

    def __init__(self, *, log: LogClient) -> None:
        self._log = log
        self.era = UNKNOWN_ERA
        """Era of the log that was read."""
        self.state = ConfigState()
        self.decided_changes: list[DecidedChange] = []
        """Changes that were read, oldest first. After a start from a snapshot, earlier changes are
        included if the log still has the change and the snapshot has the decision on it."""

    def number(self, offset: int) -> int:
        """Return the number by which processes call an offset of the log."""
        return first_number(self.era) + offset

    async def refresh(self) -> Result[ConfigState, PlatformError]:
        """Read up to the end of the stream and return the state there.

        If the log came back from an older copy, it is read again. If records that are needed were
        dropped by the log's retention, reading starts from the latest snapshot instead.
        """
        while True:
            offset = self.state.offset + 1
            read = await self._log.read(STREAM, from_offset=offset, limit=RECORDS_PER_READ)
            if not isinstance(read, Success):
                return Failure(read.failure())
            page = read.unwrap()
            if are_different(self.era, page.era):
                self.era, self.state, self.decided_changes = page.era, ConfigState(), []
                continue
            self.era = max(self.era, page.era)
            if page.oldest_offset > offset:
                snapshot = await find_snapshot(self._log)
                if not isinstance(snapshot, Success):
                    return Failure(snapshot.failure())
                self.state = snapshot.unwrap().state
                await self._read_earlier(page.oldest_offset)
                continue
            for record in page.records:
                self.state, audit = reduce_record(self.state, record)
                if audit is not None:
                    self.decided_changes.append(DecidedChange(record, audit))
            if self.state.offset + 1 >= page.end_offset or not page.records:
                return Success(self.state)

    async def _read_earlier(self, offset: int) -> None:
        """Add changes from before the snapshot that are on the log and decided in the snapshot.

        :param offset: Oldest offset that the log still holds.
        """
        decisions = {item.offset: item for item in self.state.recent_decisions}
        while offset <= self.state.offset:
            read = await self._log.read(STREAM, from_offset=offset, limit=RECORDS_PER_READ)
            if not isinstance(read, Success) or not read.unwrap().records:
                return
            for record in read.unwrap().records:
                decision = decisions.get(record.offset)
                parsed = parse_change(record.value, offset=record.offset).value_or(None)
                if decision is not None and parsed is not None:
                    self.decided_changes.append(
                        DecidedChange(record, _make_audit(record, parsed, decision))
                    )
            offset = read.unwrap().next_offset

    def find_decision(self, change_id: str) -> AuditRecord | None:
        """Return the first decision on a change, or ``None`` if the change was not read."""
        return next(
            (item.audit for item in self.decided_changes if item.audit.change_id == change_id), None
        )


def _make_audit(record: LogRecord, change: ChangeRecord, decision: ChangeDecision) -> AuditRecord:
    return AuditRecord(
        offset=record.offset,
        time_ms=record.time_ms,
        change_id=change.change_id,
        author=change.author,
        base=change.base,
        objects=tuple(sorted(change.objects)),
        previous=(),
        accepted=not decision.reason,
        reason=decision.reason,
    )
