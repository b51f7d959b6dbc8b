"""The configuration of one process and the records that led to it."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING
from typing import Any
from typing import NamedTuple

import msgspec

from cornellead_core.config import SNAPSHOT
from cornellead_core.config import ConfigState
from cornellead_core.config import Resolver
from cornellead_core.config import check_state
from cornellead_core.config import digest_state
from cornellead_core.config import reduce_record
from cornellead_core.config import verified_digest
from cornellead_core.facts import CONFIG
from cornellead_core.platform import LogRecord

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Sequence

    from cornellead_core.blackboard import Blackboard
    from cornellead_core.config import AuditRecord

KEPT_RECORDS = 256
"""Records kept for peers that lag; one that lags more gets the whole state."""
KEPT_STATES = 16
"""States kept to verify snapshots; a snapshot is appended a few records after its offset."""
KEPT_AUDITS = 64


class _Past(NamedTuple):
    state: ConfigState
    time_ms: int


class WireRecord(NamedTuple):
    """A record as it travels between processes."""

    offset: int
    time_ms: int
    value: bytes


class ConfigStore:
    """Applies records in the order of their offsets and publishes the result as a fact.

    The offset only rises: a record at or below it is ignored, and so is one beyond the next.
    """

    def __init__(self, *, board: Blackboard) -> None:
        self._board = board
        self._resolver = Resolver()
        self._state = ConfigState()
        self._past: deque[_Past] = deque(maxlen=KEPT_STATES)
        self._records: deque[WireRecord] = deque(maxlen=KEPT_RECORDS)
        self._published = False
        self.needed_since_ms = 0
        """Append time of the oldest record on the log that a new process needs."""
        self.audits: deque[AuditRecord] = deque(maxlen=KEPT_AUDITS)
        """Latest decisions, for status and logs."""
        self.rejected = 0
        self.snapshots_ignored = 0

    @property
    def state(self) -> ConfigState:
        """State at the present offset."""
        return self._state

    @property
    def offset(self) -> int:
        """Offset of the last applied record, -1 before any."""
        return self._state.offset

    @property
    def published(self) -> bool:
        """Whether the fact follows the state."""
        return self._published

    def publish(self) -> None:
        """Write the fact, and from now on after every change.

        A starting process holds it back until it has compared several sources, so that it never
        acts on an older configuration than one it could have known.
        """
        self._published = True
        self._write_fact()

    def apply(self, records: Iterable[LogRecord], *, from_peer: bool = False) -> list[LogRecord]:
        """Apply the records that continue the state.

        :param from_peer: Whether a peer read the records and verified the content of snapshots.
        :returns: The records that were new, as peers get them.
        """
        applied = []
        for record in records:
            if record.offset == self.offset + 1:
                applied.append(self._apply_one(record, from_peer=from_peer))
        if applied:
            self._write_fact()
        return applied

    def adopt(self, state: ConfigState, *, needed_since_ms: int) -> bool:
        """Replace the state by a later one.

        :returns: Whether the given state was later.
        """
        if state.offset <= self.offset:
            return False
        self._state = state
        self.needed_since_ms = needed_since_ms
        self._records.clear()
        self._past.clear()
        self._past.append(_Past(state, 0))
        self._write_fact()
        return True

    def records_above(self, offset: int, *, max_bytes: int) -> list[WireRecord] | None:
        """Return the kept records above an offset.

        :returns: ``None`` if they are not all kept or have more than ``max_bytes``.
        """
        if offset >= self.offset:
            return []
        if not self._records or self._records[0].offset > offset + 1:
            return None
        records = [record for record in self._records if record.offset > offset]
        return records if sum(len(record.value) for record in records) <= max_bytes else None

    def _apply_one(self, record: LogRecord, *, from_peer: bool) -> LogRecord:
        if self.offset == -1:
            self.needed_since_ms = record.time_ms
            self._past.append(_Past(self._state, record.time_ms))
        if record.value.get("kind") == SNAPSHOT:
            digest = record.value.get("digest") if from_peer else verified_digest(record.value)
            self._verify_snapshot(record, digest)
            record = record._replace(value=_strip_snapshot(record, digest))
        self._state, audit = reduce_record(self._state, record)
        self._past.append(_Past(self._state, record.time_ms))
        self._records.append(encode_record(record))
        if audit is not None:
            self.audits.append(audit)
            self.rejected += not audit.accepted
        return record

    def _verify_snapshot(self, record: LogRecord, digest: object) -> None:
        """Note that records up to a snapshot are no longer needed, if its state is right."""
        upto = record.value.get("upto")
        past = {item.state.offset: item for item in self._past}
        known = past.get(upto) if type(upto) is int else None
        if known is None or digest_state(known.state) != digest:
            self.snapshots_ignored += 1
            return
        following = past.get(known.state.offset + 1)
        self.needed_since_ms = record.time_ms if following is None else following.time_ms

    def _write_fact(self) -> None:
        if self._published and self.offset > self._board.read(CONFIG).offset:
            self._board.write(CONFIG, self._resolver.resolve(self._state))


def encode_record(record: LogRecord) -> WireRecord:
    """Encode a record for peers."""
    return WireRecord(record.offset, record.time_ms, msgspec.json.encode(record.value))


def _strip_snapshot(record: LogRecord, digest: object) -> dict[str, Any]:
    """Return a snapshot without its state.

    Peers need only the digest to verify it, and the state would exceed the traffic budget.
    """
    return {"kind": SNAPSHOT, "upto": record.value.get("upto"), "digest": digest}


def decode_records(records: Sequence[tuple[int, int, bytes]]) -> list[LogRecord]:
    """Decode records from a peer, up to the first that is malformed."""
    decoded = []
    for offset, time_ms, content in records:
        try:
            value = msgspec.json.decode(content, type=dict[str, Any])
        except msgspec.DecodeError:
            break
        decoded.append(LogRecord(offset, time_ms, value))
    return decoded


class StateEnvelope(NamedTuple):
    """A state on its way to a peer."""

    state: ConfigState
    needed_since_ms: int


_envelope_decoder = msgspec.json.Decoder(StateEnvelope)


def encode_envelope(store: ConfigStore) -> bytes:
    """Encode the state of a store for a peer."""
    return msgspec.json.encode(StateEnvelope(store.state, store.needed_since_ms))


def decode_envelope(content: bytes) -> StateEnvelope | None:
    """Decode a state from a peer, or return ``None`` if it is not valid."""
    try:
        envelope = _envelope_decoder.decode(content)
    except msgspec.DecodeError:
        return None
    return None if check_state(envelope.state) else envelope
