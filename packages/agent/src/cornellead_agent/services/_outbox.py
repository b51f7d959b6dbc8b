"""Records of one partition that are not yet appended to the log or not yet read back."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cornellead_core.claims import ClaimRecord
from cornellead_core.claims import DoneRecord
from cornellead_core.claims import encode_record

if TYPE_CHECKING:
    from typing import Any

    from cornellead_core.claims import ClaimsRecord

EPOCH_NAME = "epoch"
"""Name of the epoch record; at most one is pending."""
MAX_BATCH_RECORDS = 256
MAX_BATCH_BYTES = 512 << 10


class Outbox:
    """Pending records by name, in append order.

    Appending a record twice is harmless: readers ignore the second copy.
    """

    def __init__(self) -> None:
        self._records: dict[str, ClaimsRecord] = {}
        self._recorded: dict[str, int] = {}

    def __len__(self) -> int:
        """Return the number of records whose append is not confirmed."""
        return len(self._records) - len(self._recorded)

    def __contains__(self, name: str) -> bool:
        return name in self._records

    def put(self, name: str, record: ClaimsRecord) -> None:
        """Add a record at the end, or replace the pending record of that name."""
        self._records[name] = record

    def drop(self, name: str) -> None:
        """Remove a record if it is pending."""
        self._records.pop(name, None)
        self._recorded.pop(name, None)

    def next_batch(self) -> dict[str, ClaimsRecord]:
        """Return the next records to append, within the size limits of one append."""
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
        """Mark a batch as stored by the log; claims stay pending until they are read back."""
        for offset, (name, record) in enumerate(batch.items(), start=first_offset):
            if not isinstance(record, ClaimRecord):
                self.drop(name)
            elif name in self._records:
                self._recorded[name] = offset

    def unread_claims_before(self, offset: int) -> list[str]:
        """Return the names of recorded claims below an offset that were not read back."""
        return [name for name, at in self._recorded.items() if at < offset]

    @property
    def awaiting_read(self) -> bool:
        """Whether a recorded claim has not been read back yet."""
        return bool(self._recorded)


def encode_batch(batch: dict[str, ClaimsRecord]) -> list[dict[str, Any]]:
    """Encode a batch as the values of one append."""
    return [encode_record(record) for record in batch.values()]
