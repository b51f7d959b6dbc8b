"""Decides the state of keys and claims from the records of one stream."""

from __future__ import annotations

import struct
from enum import StrEnum
from typing import TYPE_CHECKING
from typing import NamedTuple

from cornellead_core.claims._records import CancelRecord
from cornellead_core.claims._records import ClaimRecord
from cornellead_core.claims._records import DoneRecord
from cornellead_core.claims._records import EpochRecord
from cornellead_core.claims._retention import clock_allowance_s

if TYPE_CHECKING:
    from cornellead_core.claims._records import ClaimsRecord

_DONE = struct.Struct(">qq16s")
"""Claim time, offset of the done record and request digest. Packed: a key costs a third."""


class Verdict(StrEnum):
    """What a claim was worth when it was recorded; it never changes."""

    LIVE = "live"
    """First open claim of its key; its process may dispatch it, once."""
    SUPERSEDED = "superseded"
    """A later epoch stands before it."""
    TAKEN = "taken"
    """The key has an earlier open claim or is done."""
    CANCELLED = "cancelled"
    """Its cancellation stands before it."""
    DUPLICATE = "duplicate"
    """The same claim stands before it."""
    EXPIRED = "expired"
    """Recorded after the key's validity."""
    KEY_TIME_AHEAD = "key_time_ahead"
    """The key's time is later than the log's time by more than the allowance."""
    UNDECIDED = "undecided"
    """Records before it are missing, so a later epoch may stand before it."""


class KeyState(StrEnum):
    """State of a key."""

    FREE = "free"
    OPEN = "open"
    """Claimed and neither done nor cancelled."""
    DONE = "done"


class KeyView(NamedTuple):
    """State of a key and what is needed to answer a call with it."""

    state: KeyState
    request: bytes = b""
    """Digest of the request that claimed the key first."""
    calls: tuple[str, ...] = ()
    """Calls with an open claim, in the order of the log."""
    done_offset: int = -1


class Epoch(NamedTuple):
    """Current ownership of the partition."""

    offset: int
    owner: str
    token: str


class _Open(NamedTuple):
    call: str
    request: bytes
    time_ms: int


_FREE = KeyView(KeyState.FREE)


class Ledger:
    """State of one partition after the records applied so far.

    Readers may start at different offsets. Whatever a reader did not see is resolved towards
    blocking a key: every claim that is not known to be void keeps its key from being free until it
    is cancelled, done or too old. So no reader frees a key of which a claim was dispatched.

    All times are those of the log, in Unix milliseconds.

    :param validity_s: Time for which a key is recognised, in seconds.
    """

    def __init__(self, *, validity_s: float) -> None:
        self._allowance_ms = round(clock_allowance_s(validity_s) * 1000)
        self._memory_ms = round(validity_s * 1000) + self._allowance_ms
        self._time_ms = 0
        self._epoch: Epoch | None = None
        self._open: dict[bytes, tuple[_Open, ...]] = {}
        self._done: dict[bytes, bytes] = {}
        self._cancelled: dict[str, int] = {}

    def __len__(self) -> int:
        """Return the number of entries held in memory."""
        return len(self._open) + len(self._done) + len(self._cancelled)

    @property
    def epoch(self) -> Epoch | None:
        """Last epoch, or ``None`` when no epoch record was seen since the last missing record."""
        return self._epoch

    @property
    def time_ms(self) -> int:
        """Latest time of the log that was seen."""
        return self._time_ms

    @property
    def memory_s(self) -> float:
        """Time for which claims are remembered, in seconds."""
        return self._memory_ms / 1000

    def lookup(self, key: bytes) -> KeyView:
        """Return the state of a key at the latest time seen."""
        done = self._done.get(key)
        if done is not None:
            claimed_ms, offset, request = _DONE.unpack(done)
            if self._remembers(claimed_ms):
                return KeyView(KeyState.DONE, request, (), offset)
        claims = [claim for claim in self._open.get(key, ()) if self._remembers(claim.time_ms)]
        if not claims:
            return _FREE
        return KeyView(KeyState.OPEN, claims[0].request, tuple(claim.call for claim in claims))

    def skip_missing(self) -> None:
        """Note that records were dropped before they were read.

        Dropped claims are older than any valid key, but an epoch may have been among them.
        """
        self._epoch = None

    def advance(self, time_ms: int) -> None:
        """Note the time of the log and forget what is too old."""
        self._time_ms = max(self._time_ms, time_ms)
        while self._done:
            key, done = next(iter(self._done.items()))
            if self._remembers(_DONE.unpack(done)[0]):
                break
            del self._done[key]
        while self._open:
            key, claims = next(iter(self._open.items()))
            if any(self._remembers(claim.time_ms) for claim in claims):
                break
            del self._open[key]
        while self._cancelled:
            call, cancelled_ms = next(iter(self._cancelled.items()))
            if self._remembers(cancelled_ms):
                break
            del self._cancelled[call]

    def apply(self, record: ClaimsRecord, *, offset: int, time_ms: int) -> Verdict | None:
        """Apply the next record of the stream.

        :returns: The verdict on a claim, ``None`` for other records.
        """
        self.advance(time_ms)
        match record:
            case EpochRecord():
                self._epoch = Epoch(offset, record.owner, record.token)
            case ClaimRecord():
                return self._claim(record)
            case DoneRecord():
                self._finish(record, offset=offset)
            case CancelRecord():
                self._cancel(record)
        return None

    def _remembers(self, time_ms: int) -> bool:
        return self._time_ms <= time_ms + self._memory_ms

    def _claim(self, claim: ClaimRecord) -> Verdict:
        if self._epoch is not None and claim.epoch < self._epoch.offset:
            return Verdict.SUPERSEDED
        if claim.call in self._cancelled:
            return Verdict.CANCELLED
        if claim.expires_ms is not None and self._time_ms > claim.expires_ms:
            return Verdict.EXPIRED
        if claim.key_time_ms is not None and claim.key_time_ms > self._time_ms + self._allowance_ms:
            return Verdict.KEY_TIME_AHEAD
        view = self.lookup(claim.key)
        if view.state is KeyState.DONE:
            return Verdict.TAKEN
        if claim.call in view.calls:
            return Verdict.DUPLICATE
        earlier = self._open.pop(claim.key, ()) if view.state is KeyState.OPEN else ()
        self._open.pop(claim.key, None)
        self._done.pop(claim.key, None)
        self._open[claim.key] = (*earlier, _Open(claim.call, claim.request, self._time_ms))
        if view.state is KeyState.OPEN:
            return Verdict.TAKEN
        return Verdict.LIVE if self._epoch is not None else Verdict.UNDECIDED

    def _finish(self, record: DoneRecord, *, offset: int) -> None:
        if self.lookup(record.key).state is KeyState.DONE:
            return
        claimed_ms = self._time_ms
        for claim in self._open.pop(record.key, ()):
            if claim.call == record.call:
                claimed_ms = claim.time_ms
        self._done.pop(record.key, None)
        self._done[record.key] = _DONE.pack(claimed_ms, offset, record.request)

    def _cancel(self, record: CancelRecord) -> None:
        # Kept although no claim is known: an append whose answer was lost may still be recorded.
        self._cancelled[record.call] = self._time_ms
        claims = self._open.get(record.key)
        if claims is None:
            return
        rest = tuple(claim for claim in claims if claim.call != record.call)
        if rest:
            self._open[record.key] = rest
        else:
            del self._open[record.key]
