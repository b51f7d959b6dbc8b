"""Sequential reader of the claims stream of one partition."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple

from returns.result import Failure
from returns.result import Result
from returns.result import Success

from cornellead_core.claims import ClaimsRecord
from cornellead_core.claims import Ledger
from cornellead_core.claims import Verdict
from cornellead_core.claims import check_retention
from cornellead_core.claims import decode_record
from cornellead_core.routing import UNKNOWN_ERA
from cornellead_core.routing import are_different

if TYPE_CHECKING:
    from cornellead_core.platform import LogClient
    from cornellead_core.platform import LogPage

PAGE_RECORDS = 1000
MIN_SEARCH_RECORDS = 2000
"""Length above which a binary search by time finds the first relevant record, instead of a read
from the start of the stream."""

MIN_KEPT_RECORDS = 1000
"""A log may also limit the number of records; this is the lowest such limit that is assumed."""


class ReadRecord(NamedTuple):
    """A record that was applied to the ledger, and the verdict if it is a claim."""

    offset: int
    record: ClaimsRecord
    verdict: Verdict | None


class StreamReader:
    """Ledger of one partition and the offset up to which the stream was read into it.

    Both belong to one history of the log. When the log came back from an older copy, the stream is
    read again, and claims appended before that moment may be lost.
    """

    def __init__(self, *, log: LogClient, stream: str, validity_s: float) -> None:
        self._log = log
        self._stream = stream
        self._validity_s = validity_s
        self.era = UNKNOWN_ERA
        """Era of the log that the ledger belongs to."""
        self._lost_ms = 0
        self.ledger = Ledger(validity_s=validity_s)
        self.histories = 1
        """Number of histories of the log that were read."""
        self.next_offset = -1
        """Offset of the next read, or -1 before the first one."""
        self.at_end = False
        self.malformed = 0

    def reset(self) -> None:
        """Discard the ledger and the position; the next read starts from the beginning."""
        self.ledger = Ledger(validity_s=self._validity_s)
        self.ledger.mark_lost(self._lost_ms)
        self.next_offset = -1
        self.at_end = False

    async def read(self, *, wait_s: float) -> Result[list[ReadRecord], str]:
        """Read the next page.

        :param wait_s: Longest wait for the first record, in seconds.
        :returns: The records with the ledger's verdicts, or an error message.
        """
        self.at_end = False
        if self.next_offset < 0:
            start = await self._find_start()
            if not isinstance(start, Success):
                return Failure(start.failure())
            self.next_offset = start.unwrap()
        result = await self._fetch(from_offset=self.next_offset, limit=PAGE_RECORDS, wait_s=wait_s)
        if not isinstance(result, Success):
            return Failure(result.failure())
        page = result.unwrap()
        if page.oldest_offset > self.next_offset and self._may_lack_claims(page):
            return Failure(self._early_drop_message())
        return Success(self._apply(page))

    async def fetch_record(self, offset: int) -> Result[ClaimsRecord | None, str]:
        """Read a single record without applying it to the ledger."""
        era = self.era
        result = await self._fetch_page(from_offset=offset, limit=1, wait_s=0.0)
        return result.map(
            lambda page: None if are_different(era, page.era) else _record_at(page, offset)
        )

    def _apply(self, page: LogPage) -> list[ReadRecord]:
        applied: list[ReadRecord] = []
        position = self.next_offset
        if page.oldest_offset > position:
            self.ledger.mark_gap()
        for offset, time_ms, value in page.records:
            if offset < position:
                continue
            record = decode_record(value)
            if record is None:
                self.malformed += 1
                continue
            verdict = self.ledger.apply(record, offset=offset, time_ms=time_ms)
            applied.append(ReadRecord(offset, record, verdict))
        self.next_offset = max(position, page.next_offset)
        self.ledger.advance_time(page.time_ms)
        self.at_end = self.next_offset >= page.end_offset
        return applied

    async def _fetch(self, *, from_offset: int, limit: int, wait_s: float) -> Result[LogPage, str]:
        """Read a page that belongs to the same history as the ledger."""
        result = await self._fetch_page(from_offset=from_offset, limit=limit, wait_s=wait_s)
        if not isinstance(result, Success):
            return result
        page = result.unwrap()
        if self._came_back(page):
            self._begin_history(page)
            return Failure(f"the log came back from an older copy; {self._stream} is read again")
        if page.end_offset < self.next_offset:
            return Failure(f"stream {self._stream} ends before records that were read from it")
        self.era = max(self.era, page.era)
        self._lost_ms = max(self._lost_ms, page.restored_ms)
        self.ledger.mark_lost(self._lost_ms)
        return result

    def _came_back(self, page: LogPage) -> bool:
        return are_different(self.era, page.era) or 0 < self.ledger.time_ms < page.restored_ms

    def _begin_history(self, page: LogPage) -> None:
        came_back_ms = page.restored_ms if page.restored_ms > self._lost_ms else page.time_ms
        self._lost_ms = max(self._lost_ms, came_back_ms)
        self.era = page.era
        self.histories += 1
        self.reset()

    async def _fetch_page(
        self, *, from_offset: int, limit: int, wait_s: float
    ) -> Result[LogPage, str]:
        result = await self._log.read(
            self._stream, from_offset=from_offset, limit=limit, wait_s=wait_s
        )
        if not isinstance(result, Success):
            return Failure(result.failure().message)
        page = result.unwrap()
        checked = check_retention(validity_s=self._validity_s, retention_s=page.retention_s)
        if not isinstance(checked, Success):
            return Failure(checked.failure())
        return Success(page)

    async def _find_start(self) -> Result[int, str]:
        """Return an offset at or before the first record that is young enough to be relevant."""
        result = await self._fetch(from_offset=0, limit=1, wait_s=0.0)
        if not isinstance(result, Success):
            return Failure(result.failure())
        page = result.unwrap()
        low, high = page.oldest_offset, page.end_offset
        since_ms = page.time_ms - round(self.ledger.key_retention_s * 1000)
        if low > 0:
            self.ledger.mark_gap()
            if self._may_lack_claims(page):
                return Failure(self._early_drop_message())
        while high - low > MIN_SEARCH_RECORDS:
            middle = (low + high) // 2
            probe = await self._fetch(from_offset=middle, limit=1, wait_s=0.0)
            if not isinstance(probe, Success):
                return Failure(probe.failure())
            records = probe.unwrap().records
            if records and records[0].time_ms < since_ms:
                low = middle
            else:
                high = middle
        return Success(low)

    def _may_lack_claims(self, page: LogPage) -> bool:
        """Return whether the records dropped before a page may include claims of valid keys.

        Dropped records are at least as old as the oldest remaining one. If that record is young and
        at least `MIN_KEPT_RECORDS` remain, a limit on the number of records may have dropped others
        that are young too.
        """
        if not page.records or page.end_offset - page.oldest_offset < MIN_KEPT_RECORDS:
            return False
        return page.records[0].time_ms > page.time_ms - round(self.ledger.key_retention_s * 1000)

    def _early_drop_message(self) -> str:
        return (
            f"the log dropped records of {self._stream} that are younger than key_validity_s;"
            " lower key_validity_s or raise the log's retention"
        )


def _record_at(page: LogPage, offset: int) -> ClaimsRecord | None:
    if not page.records or page.records[0].offset != offset:
        return None
    return decode_record(page.records[0].value)
