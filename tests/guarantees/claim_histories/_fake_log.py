"""A log service with delays, lost answers, late records, outages, a rate and retention."""

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
    """Shares of appends and reads that go wrong."""

    lost_answer: float = 0.0
    late: float = 0.0
    """Of the lost answers, those whose records are stored seconds later."""
    rejected: float = 0.0
    failed_read: float = 0.0
    delay_s: float = 0.01


class FakeLog:
    """State of the service; `AgentLog` is one process's access to it."""

    def __init__(self, *, rng: random.Random, faults: LogFaults, retention_s: float) -> None:
        self.rng = rng
        self.faults = faults
        self.retention_s = retention_s
        self.retention_records = 10**9
        self.outage = False
        self.appends = 0
        self._streams: dict[str, list[LogRecord]] = {}
        self._ends: dict[str, int] = {}
        self._changed = asyncio.Event()

    def time_ms(self) -> int:
        """Return the time of the log."""
        return EPOCH_MS + round(asyncio.get_running_loop().time() * 1000)

    def store(self, stream: str, values: Sequence[str]) -> int:
        """Store records and return the offset of the first."""
        first = self._ends.get(stream, 0)
        records = self._streams.setdefault(stream, [])
        now = self.time_ms()
        for number, value in enumerate(values):
            records.append(LogRecord(first + number, now, json.loads(value)))
        self._ends[stream] = first + len(values)
        self._changed.set()
        self._changed = asyncio.Event()
        return first

    def page(self, stream: str, from_offset: int, limit: int) -> LogPage:
        """Return a page as the service sees it now."""
        records = self._streams.setdefault(stream, [])
        now = self.time_ms()
        while records and records[0].time_ms < now - self.retention_s * 1000:
            del records[0]
        del records[: max(0, len(records) - self.retention_records)]
        end = self._ends.get(stream, 0)
        oldest = records[0].offset if records else end
        found = [record for record in records if record.offset >= from_offset][:limit]
        following = found[-1].offset + 1 if found else max(from_offset, oldest)
        return LogPage(found, min(following, end), oldest, end, self.retention_s, now)

    async def wait_change(self, timeout_s: float) -> None:
        """Wait for a record on any stream."""
        try:
            await asyncio.wait_for(self._changed.wait(), timeout_s)
        except TimeoutError:
            pass


class AgentLog:
    """Log as one process reaches it."""

    def __init__(self, *, log: FakeLog, process: Process) -> None:
        self._log = log
        self._process = process

    async def append(
        self, stream: str, values: Sequence[Mapping[str, Any]]
    ) -> Result[int, AppendError]:
        """Append with the faults of the history."""
        log, rng = self._log, self._log.rng
        encoded = [json.dumps(value) for value in values]
        await self._process.gate()
        log.appends += 1
        faults = log.faults
        await asyncio.sleep(rng.uniform(0.1, 1.0) * faults.delay_s)
        kind = rng.random()
        if log.outage or self._process.cut_off:
            if kind < 0.5:
                return await self._answer(Failure(AppendError.REJECTED))
            # The request may wait in the network and reach the log after the outage.
            kind = 0.0
        elif kind >= faults.lost_answer:
            if kind < faults.lost_answer + faults.rejected:
                return await self._answer(Failure(AppendError.REJECTED))
            return await self._answer(Success(log.store(stream, encoded)))
        loop = asyncio.get_running_loop()
        fate = rng.random()
        if fate < faults.late:
            loop.call_later(rng.uniform(0.5, 8.0), self._store_late, stream, encoded)
        elif fate < 0.9 and not log.outage and not self._process.cut_off:
            log.store(stream, encoded)
        await asyncio.sleep(rng.choice((0.1, 2.0)))
        return await self._answer(Failure(AppendError.UNKNOWN))

    async def read(
        self, stream: str, *, from_offset: int, limit: int = 1000, wait_s: float = 0.0
    ) -> Result[LogPage, PlatformError]:
        """Read a page; its content may be old by the time the process sees it."""
        log, rng = self._log, self._log.rng
        await self._process.gate()
        await asyncio.sleep(rng.uniform(0.1, 1.0) * log.faults.delay_s)
        if log.outage or self._process.cut_off or rng.random() < log.faults.failed_read:
            return await self._answer(Failure(PlatformError("the log does not answer")))
        page = log.page(stream, from_offset, limit)
        if not page.records and wait_s > 0:
            await log.wait_change(wait_s)
            page = log.page(stream, from_offset, limit)
        await asyncio.sleep(rng.uniform(0.1, 1.0) * log.faults.delay_s)
        return await self._answer(Success(page))

    def _store_late(self, stream: str, values: list[str]) -> None:
        if self._log.outage:
            asyncio.get_running_loop().call_later(1.0, self._store_late, stream, values)
            return
        self._log.store(stream, values)

    async def _answer(self, result: Result[Any, Any]) -> Result[Any, Any]:
        await self._process.gate()
        return result
