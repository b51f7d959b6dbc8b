"""Computes the state of keys and claims from the records of one stream."""

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

_DONE_ENTRY = struct.Struct(">qq16s")
"""Claim time, offset of the done record and request digest.

Packing into bytes reduces the memory per key to a third.
"""


class Verdict(StrEnum):
    """Result of applying a claim at its position in the stream; later records do not change it."""

    LIVE = "live"
    """First open claim on its key; the claiming process may dispatch the call once."""
    SUPERSEDED = "superseded"
    """A newer epoch precedes the claim in the stream."""
    TAKEN = "taken"
    """The key has an earlier open claim or is done."""
    CANCELLED = "cancelled"
    """The cancellation of the claim precedes it in the stream."""
    DUPLICATE = "duplicate"
    """The same claim precedes it in the stream."""
    EXPIRED = "expired"
    """The key had expired when the claim was recorded."""
    KEY_TIME_AHEAD = "key_time_ahead"
    """The key's creation time is ahead of the log's clock by more than the clock allowance."""
    UNDECIDED = "undecided"
    """Earlier records are missing and may include a newer epoch, so ownership is unknown."""


class KeyState(StrEnum):
    """State of a key."""

    FREE = "free"
    OPEN = "open"
    """Claimed, and neither done nor cancelled."""
    DONE = "done"


class KeyView(NamedTuple):
    """State of a key and the data needed to respond to a call with this key."""

    state: KeyState
    request: bytes = b""
    """Digest of the first request that claimed the key."""
    calls: tuple[str, ...] = ()
    """Ids of the calls with an open claim, in log order."""
    done_offset: int = -1
    """Offset of the done record, -1 if the key is not done."""


class Epoch(NamedTuple):
    """Current owner of the partition."""

    offset: int
    """Offset of the epoch record, which serves as the epoch number."""
    owner: str
    token: str
    """Random id of the owning process."""


class _OpenClaim(NamedTuple):
    call: str
    request: bytes
    time_ms: int


_FREE = KeyView(KeyState.FREE)


class Ledger:
    """State of the keys of one partition after the records applied so far.

    Readers may start at different offsets and so lack earlier records. When in doubt, the ledger
    blocks the key: every claim that is not known to be void blocks its key until the claim is
    cancelled, done or past its retention. So no reader reports a key as free while a claim on it
    may have been dispatched.

    All times are those of the log's clock, in Unix milliseconds.

    :param validity_s: Time for which an idempotency key is valid, in seconds.
    """

    def __init__(self, *, validity_s: float) -> None:
        self._clock_allowance_ms = round(clock_allowance_s(validity_s) * 1000)
        self._key_retention_ms = round(validity_s * 1000) + self._clock_allowance_ms
        self._time_ms = 0
        self._lost_ms = 0
        self._epoch: Epoch | None = None
        self._open_claims: dict[bytes, tuple[_OpenClaim, ...]] = {}
        self._done_entries: dict[bytes, bytes] = {}
        self._cancelled_at_ms: dict[str, int] = {}

    def __len__(self) -> int:
        """Return the number of entries held in memory."""
        return len(self._open_claims) + len(self._done_entries) + len(self._cancelled_at_ms)

    @property
    def epoch(self) -> Epoch | None:
        """Latest epoch, ``None`` if no epoch record was read since the last gap in the stream."""
        return self._epoch

    @property
    def time_ms(self) -> int:
        """Latest log time that was read."""
        return self._time_ms

    @property
    def key_retention_s(self) -> float:
        """Time for which claims are retained, in seconds."""
        return self._key_retention_ms / 1000

    def lookup(self, key: bytes) -> KeyView:
        """Return the state of a key at the latest log time that was read."""
        done = self._done_entries.get(key)
        if done is not None:
            claimed_ms, offset, request = _DONE_ENTRY.unpack(done)
            if self._is_retained(claimed_ms):
                return KeyView(KeyState.DONE, request, (), offset)
        claims = [
            claim for claim in self._open_claims.get(key, ()) if self._is_retained(claim.time_ms)
        ]
        if not claims:
            return _FREE
        return KeyView(KeyState.OPEN, claims[0].request, tuple(claim.call for claim in claims))

    def mark_gap(self) -> None:
        """Discard the epoch after a gap: the log dropped records before they were read.

        Dropped claims are older than any valid key, but the gap may include a newer epoch.
        """
        self._epoch = None

    def mark_lost(self, until_ms: int) -> None:
        """Take records appended up to a log time for lost: the log came back from an older copy.

        :param until_ms: The time, 0 if the log never came back from one.
        """
        self._lost_ms = max(self._lost_ms, until_ms)

    def may_lack_claim(self, key_time_ms: int | None) -> bool:
        """Return whether a valid claim on a key may be among the lost records.

        :param key_time_ms: Creation time of the key by the caller's clock, ``None`` if unknown.
        """
        if not self._lost_ms or not self._is_retained(self._lost_ms):
            return False
        return key_time_ms is None or key_time_ms <= self._lost_ms + self._clock_allowance_ms

    def advance_time(self, time_ms: int) -> None:
        """Advance the ledger to a log time and evict expired entries."""
        self._time_ms = max(self._time_ms, time_ms)
        while self._done_entries:
            key, done = next(iter(self._done_entries.items()))
            if self._is_retained(_DONE_ENTRY.unpack(done)[0]):
                break
            del self._done_entries[key]
        while self._open_claims:
            key, claims = next(iter(self._open_claims.items()))
            if any(self._is_retained(claim.time_ms) for claim in claims):
                break
            del self._open_claims[key]
        while self._cancelled_at_ms:
            call, cancelled_ms = next(iter(self._cancelled_at_ms.items()))
            if self._is_retained(cancelled_ms):
                break
            del self._cancelled_at_ms[call]

    def apply(self, record: ClaimsRecord, *, offset: int, time_ms: int) -> Verdict | None:
        """Apply the next record of the stream.

        :returns: The verdict on a claim; ``None`` for other records.
        """
        self.advance_time(time_ms)
        match record:
            case EpochRecord():
                self._epoch = Epoch(offset, record.owner, record.token)
            case ClaimRecord():
                return self._apply_claim(record)
            case DoneRecord():
                self._apply_done(record, offset=offset)
            case CancelRecord():
                self._apply_cancel(record)
        return None

    def _is_retained(self, time_ms: int) -> bool:
        return self._time_ms <= time_ms + self._key_retention_ms

    def _apply_claim(self, claim: ClaimRecord) -> Verdict:
        if self._epoch is not None and claim.epoch < self._epoch.offset:
            return Verdict.SUPERSEDED
        if claim.call in self._cancelled_at_ms:
            return Verdict.CANCELLED
        if claim.expires_ms is not None and self._time_ms > claim.expires_ms:
            return Verdict.EXPIRED
        if (
            claim.key_time_ms is not None
            and claim.key_time_ms > self._time_ms + self._clock_allowance_ms
        ):
            return Verdict.KEY_TIME_AHEAD
        key_view = self.lookup(claim.key)
        if key_view.state is KeyState.DONE:
            return Verdict.TAKEN
        if claim.call in key_view.calls:
            return Verdict.DUPLICATE
        earlier = self._open_claims.pop(claim.key, ()) if key_view.state is KeyState.OPEN else ()
        self._open_claims.pop(claim.key, None)
        self._done_entries.pop(claim.key, None)
        self._open_claims[claim.key] = (
            *earlier,
            _OpenClaim(claim.call, claim.request, self._time_ms),
        )
        if key_view.state is KeyState.OPEN:
            return Verdict.TAKEN
        return Verdict.LIVE if self._epoch is not None else Verdict.UNDECIDED

    def _apply_done(self, record: DoneRecord, *, offset: int) -> None:
        if self.lookup(record.key).state is KeyState.DONE:
            return
        claimed_ms = self._time_ms
        for claim in self._open_claims.pop(record.key, ()):
            if claim.call == record.call:
                claimed_ms = claim.time_ms
        self._done_entries.pop(record.key, None)
        self._done_entries[record.key] = _DONE_ENTRY.pack(claimed_ms, offset, record.request)

    def _apply_cancel(self, record: CancelRecord) -> None:
        # Stored even if no claim of the call was read: when the response to its append was lost,
        # the log may record the claim later than its cancellation.
        self._cancelled_at_ms[record.call] = self._time_ms
        claims = self._open_claims.get(record.key)
        if claims is None:
            return
        remaining = tuple(claim for claim in claims if claim.call != record.call)
        if remaining:
            self._open_claims[record.key] = remaining
        else:
            del self._open_claims[record.key]
