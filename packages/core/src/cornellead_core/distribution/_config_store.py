"""Configuration state of one process and the latest records that were applied to it."""

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
from cornellead_core.decoding import UNREADABLE
from cornellead_core.distribution._lost_objects import LostObjects
from cornellead_core.distribution._offset_numbers import first_number
from cornellead_core.facts import CONFIG
from cornellead_core.platform import LogRecord

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Sequence

    from cornellead_core.blackboard import Blackboard
    from cornellead_core.config import AuditRecord
    from cornellead_core.config import ChangeRecord

MAX_CACHED_RECORDS = 256
"""Records cached for lagging peers; a peer that lags further behind gets the whole state."""
MAX_PAST_STATES = 16
"""Past states kept to verify snapshots, which are appended a few records after their offset."""
MAX_AUDIT_RECORDS = 64


class _PastState(NamedTuple):
    state: ConfigState
    time_ms: int


class WireRecord(NamedTuple):
    """A log record in the control protocol, with its value encoded as JSON."""

    offset: int
    time_ms: int
    value: bytes


class RestoredLog(NamedTuple):
    """What is known about a log that came back from an older copy."""

    time_ms: int
    """When it came back, in Unix milliseconds; 0 if it never did."""
    copy_end: int
    """Offset after the last record of the copy."""


class ConfigStore:
    """Applies records in order of offset and publishes the resolved configuration as a fact.

    The offset never decreases: offsets of a restored log are numbered after those of its earlier
    eras. Only the record at the next offset is applied; duplicates and records after a gap are
    ignored.
    """

    def __init__(self, *, board: Blackboard) -> None:
        self._board = board
        self._resolver = Resolver()
        self._state = ConfigState()
        self._lost = LostObjects()
        self.era = 0
        """Era of the log that the state belongs to."""
        self._past_states: deque[_PastState] = deque(maxlen=MAX_PAST_STATES)
        self._records: deque[WireRecord] = deque(maxlen=MAX_CACHED_RECORDS)
        self._published = False
        self.oldest_needed_ms = 0
        """Append time of the oldest log record that a new process needs, in Unix milliseconds."""
        self.audits: deque[AuditRecord] = deque(maxlen=MAX_AUDIT_RECORDS)
        """Decisions on the latest changes, oldest first."""
        self.rejected = 0
        self.snapshots_ignored = 0

    @property
    def state(self) -> ConfigState:
        """State of the log after the last applied record, with the offsets of the log."""
        return self._state

    @property
    def offset(self) -> int:
        """Number of the last applied record, -1 before any."""
        return first_number(self.era) + self._state.offset

    @property
    def restored(self) -> RestoredLog:
        """What is known about the copy that the log came back from."""
        return RestoredLog(self._lost.restored_ms, self._lost.copy_end)

    @property
    def published(self) -> bool:
        """Whether changes of the state are written to the `CONFIG` fact."""
        return self._published

    def publish(self) -> None:
        """Write the `CONFIG` fact now and after every later change of the state.

        A starting process calls this only after it has compared the log and several peers.
        Otherwise it could act on an older configuration than the one it is about to load.
        """
        self._published = True
        self._write_fact()

    def apply(self, records: Iterable[LogRecord], *, from_peer: bool = False) -> list[LogRecord]:
        """Apply the records whose offset follows the current one.

        :param from_peer: Whether the records come from a peer, which has verified the content of
            snapshots and sends only their digest.
        :returns: The records that were new, with snapshots reduced to their digest.
        """
        applied = []
        for record in records:
            if record.offset == self.offset + 1:
                applied.append(self._apply_record(record, from_peer=from_peer))
        if applied:
            self._write_fact()
        return applied

    def begin_era(self, era: int, *, restored_ms: int) -> None:
        """Begin with the records of a log that came back from an older copy.

        The objects in force stay in force, unless they are changed in the new era.

        :param restored_ms: When the log came back, in Unix milliseconds.
        """
        self._lost.begin(self._lost.add_to(self._state).objects, restored_ms=restored_ms)
        self.era = era
        self._state = ConfigState()
        self._records.clear()
        self._past_states.clear()
        self._write_fact()

    def lost_changes(self) -> list[ChangeRecord]:
        """Return the changes in force that the log lost, for appending them again."""
        self._lost.settle(self._state, era=self.era)
        return self._lost.make_changes(self._state, era=self.era)

    def adopt(
        self,
        state: ConfigState,
        *,
        oldest_needed_ms: int,
        era: int | None = None,
        restored: RestoredLog | None = None,
    ) -> bool:
        """Replace the state if the given one has a higher offset.

        :param era: Era of a peer's state; by default, the present one.
        :param restored: What the peer knows about the copy that the log came back from; ``None``
            for a snapshot of the log, which was appended at `oldest_needed_ms`.
        :returns: Whether the state was replaced.
        """
        era = self.era if era is None else era
        if first_number(era) + state.offset <= self.offset:
            return False
        if restored is None:
            self._lost.skip_copy(state.offset, time_ms=oldest_needed_ms)
        else:
            if era > self.era:
                self.begin_era(era, restored_ms=restored.time_ms)
            self._lost.copy_end = max(self._lost.copy_end, restored.copy_end)
        self._state = state
        self.oldest_needed_ms = oldest_needed_ms
        self._records.clear()
        self._past_states.clear()
        self._past_states.append(_PastState(state, 0))
        self._write_fact()
        return True

    def records_after(self, offset: int, *, max_bytes: int) -> list[WireRecord] | None:
        """Return the cached records after an offset.

        :returns: ``None`` if some are no longer cached or their values exceed ``max_bytes``.
        """
        if offset >= self.offset:
            return []
        if not self._records or self._records[0].offset > offset + 1:
            return None
        records = [record for record in self._records if record.offset > offset]
        return records if sum(len(record.value) for record in records) <= max_bytes else None

    def _apply_record(self, record: LogRecord, *, from_peer: bool) -> LogRecord:
        number = record.offset
        record = record._replace(offset=number - first_number(self.era))
        if record.offset == 0:
            self.oldest_needed_ms = record.time_ms
            self._past_states.append(_PastState(self._state, record.time_ms))
        if record.value.get("kind") == SNAPSHOT:
            digest = record.value.get("digest") if from_peer else verified_digest(record.value)
            self._verify_snapshot(record, digest)
            record = record._replace(value=_without_state(record, digest))
        self._state, audit = reduce_record(self._state, record)
        self._past_states.append(_PastState(self._state, record.time_ms))
        self._lost.skip_copy(record.offset, time_ms=record.time_ms)
        if record.time_ms >= self._lost.restored_ms:
            self._lost.settle(self._state, era=self.era)
        record = record._replace(offset=number)
        self._records.append(encode_record(record))
        if audit is not None:
            self.audits.append(audit)
            self.rejected += not audit.accepted
        return record

    def _verify_snapshot(self, record: LogRecord, digest: object) -> None:
        """Advance `oldest_needed_ms` past a snapshot whose digest matches the state at its offset.

        A snapshot with a wrong digest, or of an offset without a past state, is ignored.
        """
        upto = record.value.get("upto")
        past_states = {item.state.offset: item for item in self._past_states}
        covered = past_states.get(upto) if type(upto) is int else None
        if covered is None or digest_state(covered.state) != digest:
            self.snapshots_ignored += 1
            return
        following = past_states.get(covered.state.offset + 1)
        self.oldest_needed_ms = record.time_ms if following is None else following.time_ms

    def _write_fact(self) -> None:
        if self._published and self.offset > self._board.read(CONFIG).offset:
            in_force = self._lost.add_to(self._state)
            resolved = self._resolver.resolve(in_force)
            self._board.write(CONFIG, resolved._replace(offset=self.offset))


def encode_record(record: LogRecord) -> WireRecord:
    """Encode a log record for the control protocol."""
    return WireRecord(record.offset, record.time_ms, msgspec.json.encode(record.value))


def _without_state(record: LogRecord, digest: object) -> dict[str, Any]:
    """Return the value of a snapshot record without its state.

    Peers verify a snapshot by its digest alone, and pushing the whole state would exceed the
    budget of control traffic.
    """
    return {"kind": SNAPSHOT, "upto": record.value.get("upto"), "digest": digest}


def decode_records(records: Sequence[tuple[int, int, bytes]]) -> list[LogRecord]:
    """Decode a peer's records up to the first malformed one.

    The records after it are dropped because they could not be applied across the gap.
    """
    decoded = []
    for offset, time_ms, content in records:
        try:
            value = msgspec.json.decode(content, type=dict[str, Any])
        except UNREADABLE:
            break
        decoded.append(LogRecord(offset, time_ms, value))
    return decoded


class StateEnvelope(NamedTuple):
    """Payload of `ConfigSnapshot`: a state and what a peer needs to continue from it."""

    state: ConfigState
    oldest_needed_ms: int
    restored: RestoredLog = RestoredLog(0, 0)
    """Left out in the first era, in which peers of earlier versions read the envelope."""


_envelope_decoder = msgspec.json.Decoder(StateEnvelope)


def encode_envelope(store: ConfigStore) -> bytes:
    """Encode the state of a store as JSON for a peer."""
    envelope = StateEnvelope(store.state, store.oldest_needed_ms, store.restored)
    return msgspec.json.encode(envelope if store.era else envelope[:2])


def decode_envelope(content: bytes) -> StateEnvelope | None:
    """Decode and validate a peer's state; return ``None`` if it is malformed or invalid."""
    try:
        envelope = _envelope_decoder.decode(content)
    except UNREADABLE:
        return None
    return None if check_state(envelope.state) else envelope
