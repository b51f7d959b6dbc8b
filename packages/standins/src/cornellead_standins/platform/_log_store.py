"""Append-only streams with offsets and limited retention."""

from __future__ import annotations

from collections import defaultdict
from collections import deque
from typing import TYPE_CHECKING
from typing import Any
from typing import NamedTuple

if TYPE_CHECKING:
    from collections.abc import Sequence


class StoredRecord(NamedTuple):
    """One record; encoded as a list."""

    offset: int
    time_ms: int
    value: dict[str, Any]


class _Stream:
    def __init__(self) -> None:
        self.records: deque[StoredRecord] = deque()
        self.end = 0

    @property
    def oldest(self) -> int:
        return self.records[0].offset if self.records else self.end


class LogStore:
    """Streams of records; the first record of each has offset 0.

    >>> store = LogStore(retention_s=10.0, retention_records=100)
    >>> store.append("s", [{"a": 1}, {"a": 2}], time_ms=1_000)
    0
    >>> store.read("s", from_offset=1, limit=10, time_ms=2_000)["records"]
    [StoredRecord(offset=1, time_ms=1000, value={'a': 2})]
    >>> page = store.read("s", from_offset=0, limit=10, time_ms=12_000)
    >>> page["records"], page["oldest"], page["end"]
    ([], 2, 2)
    """

    def __init__(self, *, retention_s: float, retention_records: int) -> None:
        self._retention_s = retention_s
        self._retention_records = retention_records
        self._streams: defaultdict[str, _Stream] = defaultdict(_Stream)

    def append(self, name: str, values: Sequence[dict[str, Any]], *, time_ms: int) -> int:
        """Store records and return the offset of the first."""
        stream = self._streams[name]
        first = stream.end
        for value in values:
            stream.records.append(StoredRecord(stream.end, time_ms, value))
            stream.end += 1
        return first

    def end(self, name: str) -> int:
        """Return the offset that the next append gets."""
        return self._streams[name].end if name in self._streams else 0

    def read(self, name: str, *, from_offset: int, limit: int, time_ms: int) -> dict[str, Any]:
        """Return a page of records; dropped records are skipped."""
        stream = self._streams[name]
        self._drop_expired(stream, time_ms)
        start = max(from_offset, stream.oldest) - stream.oldest
        records = [stream.records[i] for i in range(start, min(start + limit, len(stream.records)))]
        following = records[-1].offset + 1 if records else max(from_offset, stream.oldest)
        return {
            "records": records,
            "next": following,
            "oldest": stream.oldest,
            "end": stream.end,
            "retention_s": self._retention_s,
            "time_ms": time_ms,
        }

    def _drop_expired(self, stream: _Stream, time_ms: int) -> None:
        limit_ms = time_ms - round(self._retention_s * 1000)
        records = stream.records
        while records and (records[0].time_ms < limit_ms or len(records) > self._retention_records):
            records.popleft()
