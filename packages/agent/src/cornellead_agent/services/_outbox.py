"""Records of one partition that are still to be recorded or read back."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cornellead_core.claims import ClaimRecord
from cornellead_core.claims import DoneRecord
from cornellead_core.claims import encode_record

if TYPE_CHECKING:
    from typing import Any

    from cornellead_core.claims import ClaimsRecord

EPOCH = "epoch"
"""Name of the one epoch record that may be waiting."""
MAX_BATCH_RECORDS = 256
MAX_BATCH_BYTES = 512 << 10


class Outbox:
    """Ordered records; sending one twice is harmless because readers ignore the second copy."""

    def __init__(self) -> None:
        self._records: dict[str, ClaimsRecord] = {}
        self._recorded: dict[str, int] = {}

    def __len__(self) -> int:
        """Return the number of records not yet known to be recorded."""
        return len(self._records) - len(self._recorded)

    def __contains__(self, name: str) -> bool:
        return name in self._records

    def put(self, name: str, record: ClaimsRecord) -> None:
        """Add a record at the end."""
        self._records[name] = record

    def drop(self, name: str) -> None:
        """Remove a record, if it is there."""
        self._records.pop(name, None)
        self._recorded.pop(name, None)

    def next_batch(self) -> dict[str, ClaimsRecord]:
        """Return the next records to append, within the limits of one append."""
        batch: dict[str, ClaimsRecord] = {}
        size = 0
        for name, record in self._records.items():
            if name in self._recorded:
                continue
            size += len(record.body) if isinstance(record, DoneRecord) else 0
            if batch and (len(batch) >= MAX_BATCH_RECORDS or size > MAX_BATCH_BYTES):
                break
            batch[name] = record
        return batch

    def mark_recorded(self, batch: dict[str, ClaimsRecord], *, first_offset: int) -> None:
        """Note that the log stored a batch. Claims stay until they are read back."""
        for offset, (name, record) in enumerate(batch.items(), start=first_offset):
            if not isinstance(record, ClaimRecord):
                self.drop(name)
            elif name in self._records:
                self._recorded[name] = offset

    def missing_before(self, offset: int) -> list[str]:
        """Return recorded claims below an offset that were not read back."""
        return [name for name, at in self._recorded.items() if at < offset]

    @property
    def awaiting_read(self) -> bool:
        """Whether a recorded claim is still to be read back."""
        return bool(self._recorded)


def encode_batch(batch: dict[str, ClaimsRecord]) -> list[dict[str, Any]]:
    """Return the log values of a batch."""
    return [encode_record(record) for record in batch.values()]
