"""Fake log service: delays, lost responses, late records, outages, retention and older copies."""

from __future__ import annotations

import asyncio
import json
from typing import TYPE_CHECKING
from typing import Any
from typing import NamedTuple

from returns.result import Failure
from returns.result import Result
from returns.result import Success

from cornellead_core.platform import AppendError
from cornellead_core.platform import LogPage
from cornellead_core.platform import LogRecord
from cornellead_core.platform import PlatformError

if TYPE_CHECKING:
    import random
    from collections.abc import Mapping
    from collections.abc import Sequence

    from tests.guarantees.claim_histories._process import Process

EPOCH_MS = 1_700_000_000_000


class LogFaults(NamedTuple):
    """Probabilities of append and read faults, and the request delay."""

    lost_response: float = 0.0
    late: float = 0.0
    """Probability that the records of an append without a response are stored seconds later."""
    rejected: float = 0.0
    failed_read: float = 0.0
    delay_s: float = 0.01
    """Maximum delay of an append, and of each direction of a read."""


class FakeLog:
    """State of the log service; `FakeLogClient` is the client of one process."""

    def __init__(self, *, rng: random.Random, faults: LogFaults, retention_s: float) -> None:
        self.rng = rng
        self.faults = faults
        self.retention_s = retention_s
        self.retention_records = 10**9
        self.outage = False
        self.appends = 0
        self.names_era = True
        self._era = 0
        self._restored_ms = 0
        self._streams: dict[str, list[LogRecord]] = {}
        self._end_offsets: dict[str, int] = {}
        self._record_stored = asyncio.Event()

    def time_ms(self) -> int:
        """Return the current log time in Unix milliseconds."""
        return EPOCH_MS + round(asyncio.get_running_loop().time() * 1000)

    def store(self, stream: str, values: Sequence[str]) -> int:
        """Store records and return the offset of the first one."""
        first = self._end_offsets.get(stream, 0)
        records = self._streams.setdefault(stream, [])
        now = self.time_ms()
        for number, value in enumerate(values):
            records.append(LogRecord(first + number, now, json.loads(value)))
        self._end_offsets[stream] = first + len(values)
        self._record_stored.set()
        self._record_stored = asyncio.Event()
        return first

    def copy(self) -> tuple[dict[str, list[LogRecord]], dict[str, int]]:
        """Return a copy of all streams."""
        streams = {name: list(records) for name, records in self._streams.items()}
        return streams, dict(self._end_offsets)

    def restore(self, copy: tuple[dict[str, list[LogRecord]], dict[str, int]]) -> None:
        """Come back from a copy: later offsets are given out again, in a later era."""
        self._streams, self._end_offsets = copy
        self._era += 1
        self._restored_ms = self.time_ms()

    def page(self, stream: str, from_offset: int, limit: int) -> LogPage:
        """Drop expired records and return a page of the current stream."""
        records = self._streams.setdefault(stream, [])
        now = self.time_ms()
        while records and records[0].time_ms < now - self.retention_s * 1000:
            del records[0]
        del records[: max(0, len(records) - self.retention_records)]
        end = self._end_offsets.get(stream, 0)
        oldest = records[0].offset if records else end
        page_records = [record for record in records if record.offset >= from_offset][:limit]
        next_offset = page_records[-1].offset + 1 if page_records else max(from_offset, oldest)
        page = LogPage(page_records, min(next_offset, end), oldest, end, self.retention_s, now)
        if not self.names_era:
            return page
        return page._replace(era=self._era, restored_ms=self._restored_ms)

    async def wait_for_record(self, timeout_s: float) -> None:
        """Wait until a record is stored in any stream, or until the timeout."""
        try:
            await asyncio.wait_for(self._record_stored.wait(), timeout_s)
        except TimeoutError:
            pass


class FakeLogClient:
    """Log client of one process, which injects the faults of the history."""

    def __init__(self, *, log: FakeLog, process: Process) -> None:
        self._log = log
        self._process = process

    async def append(
        self, stream: str, values: Sequence[Mapping[str, Any]]
    ) -> Result[int, AppendError]:
        """Append records, or fail with or without storing them."""
        log, rng = self._log, self._log.rng
        encoded = [json.dumps(value) for value in values]
        await self._process.wait_until_running()
        log.appends += 1
        faults = log.faults
        await asyncio.sleep(rng.uniform(0.1, 1.0) * faults.delay_s)
        fault_roll = rng.random()
        if log.outage or self._process.cut_off:
            if fault_roll < 0.5:
                return await self._respond(Failure(AppendError.REJECTED))
            # The request may be delayed in the network and reach the log after the outage.
            fault_roll = 0.0
        elif fault_roll >= faults.lost_response:
            if fault_roll < faults.lost_response + faults.rejected:
                return await self._respond(Failure(AppendError.REJECTED))
            return await self._respond(Success(log.store(stream, encoded)))
        loop = asyncio.get_running_loop()
        store_roll = rng.random()
        if store_roll < faults.late:
            loop.call_later(rng.uniform(0.5, 8.0), self._store_late, stream, encoded)
        elif store_roll < 0.9 and not log.outage and not self._process.cut_off:
            log.store(stream, encoded)
        await asyncio.sleep(rng.choice((0.1, 2.0)))
        return await self._respond(Failure(AppendError.UNKNOWN))

    async def read(
        self, stream: str, *, from_offset: int, limit: int = 1000, wait_s: float = 0.0
    ) -> Result[LogPage, PlatformError]:
        """Read a page, which may be stale by the time the process receives it."""
        log, rng = self._log, self._log.rng
        await self._process.wait_until_running()
        await asyncio.sleep(rng.uniform(0.1, 1.0) * log.faults.delay_s)
        if log.outage or self._process.cut_off or rng.random() < log.faults.failed_read:
            return await self._respond(Failure(PlatformError("the log is unreachable")))
        page = log.page(stream, from_offset, limit)
        if not page.records and wait_s > 0:
            await log.wait_for_record(wait_s)
            page = log.page(stream, from_offset, limit)
        await asyncio.sleep(rng.uniform(0.1, 1.0) * log.faults.delay_s)
        return await self._respond(Success(page))

    def _store_late(self, stream: str, values: list[str]) -> None:
        if self._log.outage:
            asyncio.get_running_loop().call_later(1.0, self._store_late, stream, values)
            return
        self._log.store(stream, values)

    async def _respond(self, result: Result[Any, Any]) -> Result[Any, Any]:
        await self._process.wait_until_running()
        return result
