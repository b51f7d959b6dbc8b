"""Records of a claims stream and their conversion to log values."""

from __future__ import annotations

from typing import Any
from typing import TypeAlias

import msgspec


class EpochRecord(msgspec.Struct, frozen=True, tag_field="kind", tag="epoch"):
    """Makes a process the owner of the partition; the record's offset is the epoch number."""

    owner: str
    """Server name."""
    incarnation: int
    token: str
    """Random id of the owning process."""


class ClaimRecord(msgspec.Struct, frozen=True, tag_field="kind", tag="claim", omit_defaults=True):
    """Claims an idempotency key for one call."""

    epoch: int
    key: bytes
    request: bytes
    """Digest of the operation and the body."""
    call: str
    key_time_ms: int | None = None
    """Creation time of the key by the caller's clock, in Unix milliseconds."""
    expires_ms: int | None = None
    """The claim is void if the log records it after this time."""


class DoneRecord(msgspec.Struct, frozen=True, tag_field="kind", tag="done", omit_defaults=True):
    """Records the server's response to a call."""

    key: bytes
    request: bytes
    call: str
    status: int
    content_type: str = ""
    body: bytes = b""
    omitted: bool = False
    """Whether the body was left out because it is too large to record."""


class CancelRecord(msgspec.Struct, frozen=True, tag_field="kind", tag="cancel"):
    """Cancels the claim of a call that was not and will not be sent to the server.

    Only the process that made the call writes this record.
    """

    key: bytes
    call: str


ClaimsRecord: TypeAlias = EpochRecord | ClaimRecord | DoneRecord | CancelRecord


def encode_record(record: ClaimsRecord) -> dict[str, Any]:
    """Convert a record to a log value.

    >>> encode_record(CancelRecord(key=b"k", call="c1"))
    {'kind': 'cancel', 'key': 'aw==', 'call': 'c1'}
    """
    value: dict[str, Any] = msgspec.to_builtins(record)
    return value


def decode_record(value: dict[str, Any]) -> ClaimsRecord | None:
    """Convert a log value to a record, or return ``None`` if its kind or fields are unknown.

    >>> decode_record({"kind": "cancel", "key": "aw==", "call": "c1"})
    CancelRecord(key=b'k', call='c1')
    """
    try:
        record: ClaimsRecord = msgspec.convert(value, type=ClaimsRecord)
    except msgspec.ValidationError:
        return None
    return record
