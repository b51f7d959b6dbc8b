"""Records of a claims stream."""

from __future__ import annotations

from typing import Any
from typing import TypeAlias

import msgspec


class EpochRecord(msgspec.Struct, frozen=True, tag_field="kind", tag="epoch"):
    """Takes ownership of the partition; the epoch number is the offset of this record."""

    owner: str
    """Server name."""
    incarnation: int
    token: str
    """Random id of the owning process."""


class ClaimRecord(msgspec.Struct, frozen=True, tag_field="kind", tag="claim", omit_defaults=True):
    """Claims a key for one call."""

    epoch: int
    key: bytes
    request: bytes
    """Digest of operation and body."""
    call: str
    key_time_ms: int | None = None
    """When the caller made the key, Unix milliseconds by the caller's clock."""
    expires_ms: int | None = None
    """The claim is void if it is recorded after this time."""


class DoneRecord(msgspec.Struct, frozen=True, tag_field="kind", tag="done", omit_defaults=True):
    """The server answered the call."""

    key: bytes
    request: bytes
    call: str
    status: int
    content_type: str = ""
    body: bytes = b""
    omitted: bool = False
    """The body was too large to be recorded."""


class CancelRecord(msgspec.Struct, frozen=True, tag_field="kind", tag="cancel"):
    """The call was not sent to the server and will not be; written by its own process only."""

    key: bytes
    call: str


ClaimsRecord: TypeAlias = EpochRecord | ClaimRecord | DoneRecord | CancelRecord


def encode_record(record: ClaimsRecord) -> dict[str, Any]:
    """Return the log value of a record.

    >>> encode_record(CancelRecord(key=b"k", call="c1"))
    {'kind': 'cancel', 'key': 'aw==', 'call': 'c1'}
    """
    value: dict[str, Any] = msgspec.to_builtins(record)
    return value


def decode_record(value: dict[str, Any]) -> ClaimsRecord | None:
    """Return the record of a log value, or ``None`` if it is none of this stream's kinds.

    >>> decode_record({"kind": "cancel", "key": "aw==", "call": "c1"})
    CancelRecord(key=b'k', call='c1')
    """
    try:
        record: ClaimsRecord = msgspec.convert(value, type=ClaimsRecord)
    except msgspec.ValidationError:
        return None
    return record
