"""In-memory log service: append-only streams with limited retention."""

from __future__ import annotations

import copy
from collections import defaultdict
from collections import deque
from typing import TYPE_CHECKING
from typing import Any
from typing import NamedTuple

if TYPE_CHECKING:
    from collections.abc import Sequence


class StoredRecord(NamedTuple):
    """One record of a stream; encoded as a JSON array."""

    offset: int
    time_ms: int
    value: dict[str, Any]


class _Stream:
    def __init__(self) -> None:
        self.records: deque[StoredRecord] = deque()
        self.end_offset = 0

    @property
    def oldest_offset(self) -> int:
        return self.records[0].offset if self.records else self.end_offset


class LogStore:
    """Streams of records by name; the offsets of each stream start at 0.

    Expired records are dropped when their stream is read. A store that comes back from a copy gives
    out the later offsets again, in a new era.

    :param retention_records: Maximum number of records kept per stream.

    >>> store = LogStore(retention_s=10.0, retention_records=100)
    >>> store.append("s", [{"a": 1}, {"a": 2}], time_ms=1_000)
    0
    >>> store.read("s", from_offset=1, limit=10, time_ms=2_000)["records"]
    [StoredRecord(offset=1, time_ms=1000, value={'a': 2})]
    >>> page = store.read("s", from_offset=0, limit=10, time_ms=12_000)
    >>> page["records"], page["oldest"], page["end"]
    ([], 2, 2)
    >>> store.save_copy()
    >>> store.append("s", [{"a": 3}], time_ms=12_000)
    2
    >>> store.restore_copy(time_ms=13_000)
    >>> page = store.read("s", from_offset=0, limit=10, time_ms=13_000)
    >>> page["end"], page["era"], page["restored_ms"]
    (2, 1, 13000)
    """

    def __init__(self, *, retention_s: float, retention_records: int) -> None:
        self._retention_s = retention_s
        self._retention_records = retention_records
        self._streams: defaultdict[str, _Stream] = defaultdict(_Stream)
        self._copy: defaultdict[str, _Stream] = defaultdict(_Stream)
        self._era = 0
        self._restored_ms = 0

    def save_copy(self) -> None:
        """Replace the copy by the present records."""
        self._copy = copy.deepcopy(self._streams)

    def restore_copy(self, *, time_ms: int) -> None:
        """Come back from the copy, which is empty if none was saved, and begin a new era."""
        self._streams = copy.deepcopy(self._copy)
        self._era += 1
        self._restored_ms = time_ms

    def append(self, name: str, values: Sequence[dict[str, Any]], *, time_ms: int) -> int:
        """Append records and return the offset of the first."""
        stream = self._streams[name]
        first = stream.end_offset
        for value in values:
            stream.records.append(StoredRecord(stream.end_offset, time_ms, value))
            stream.end_offset += 1
        return first

    def end_offset(self, name: str) -> int:
        """Return the offset of the next record to be appended."""
        return self._streams[name].end_offset if name in self._streams else 0

    def read(self, name: str, *, from_offset: int, limit: int, time_ms: int) -> dict[str, Any]:
        """Return a page as the log service encodes it.

        The page starts at the oldest retained record if ``from_offset`` was dropped.
        """
        stream = self._streams[name]
        self._drop_expired(stream, time_ms)
        start = max(from_offset, stream.oldest_offset) - stream.oldest_offset
        records = [stream.records[i] for i in range(start, min(start + limit, len(stream.records)))]
        next_offset = records[-1].offset + 1 if records else max(from_offset, stream.oldest_offset)
        return {
            "records": records,
            "next": next_offset,
            "oldest": stream.oldest_offset,
            "end": stream.end_offset,
            "retention_s": self._retention_s,
            "time_ms": time_ms,
            "era": self._era,
            "restored_ms": self._restored_ms,
        }

    def _drop_expired(self, stream: _Stream, time_ms: int) -> None:
        oldest_kept_ms = time_ms - round(self._retention_s * 1000)
        records = stream.records
        while records and (
            records[0].time_ms < oldest_kept_ms or len(records) > self._retention_records
        ):
            records.popleft()
