"""Gossip protocol of the configuration, without I/O: replies, pushes and reads of the log."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple

from cornellead_core.distribution._config_store import decode_envelope
from cornellead_core.distribution._config_store import decode_records
from cornellead_core.distribution._config_store import encode_envelope
from cornellead_core.distribution._config_store import encode_record
from cornellead_core.distribution._log_read_policy import LogReadPolicy
from cornellead_core.distribution._offset_numbers import era_of
from cornellead_core.distribution._offset_numbers import first_number
from cornellead_core.membership import Peers
from cornellead_core.wire import UNKNOWN_AGE_MS
from cornellead_core.wire import Ack
from cornellead_core.wire import ConfigOffset
from cornellead_core.wire import ConfigRecords
from cornellead_core.wire import ConfigSnapshot
from cornellead_core.wire import ConfigStateRequest
from cornellead_core.wire import Message

if TYPE_CHECKING:
    import random
    from collections.abc import Sequence

    from cornellead_core.distribution._config_store import ConfigStore
    from cornellead_core.distribution._config_store import WireRecord
    from cornellead_core.platform import HostEntry
    from cornellead_core.platform import LogPage
    from cornellead_core.platform import LogRecord

PUSH_PEERS_SAME_DC = 4
PUSH_PEERS_OTHER_DC = 1
MAX_PUSH_RECORDS = 32
"""Longer runs are not pushed.

The process is catching up then, and its peers have the records already
or fetch them when they compare offsets.
"""
MAX_REPLY_BYTES = 64 << 10
OTHER_DC_COMPARE_SHARE = 0.25
"""Share of comparisons made with another data centre.

They repair a data centre that received none of the pushes.
"""
ISOLATION_TIMEOUT_S = 5.0
"""Time without contact to any peer after which a process reads the log itself."""
PROBE_OFFSET = 1 << 62
"""Higher than any real offset, which makes a peer reply with its own offset and no records."""


class Push(NamedTuple):
    """An outgoing message and the control address of its peer."""

    address: str
    message: Message


class ConfigExchange:
    """Gossip state of one process; does no I/O.

    Incoming messages and log pages update the store and put pushes in an outbox, which the caller
    empties with `pop_pushes` and sends. All times are monotonic seconds of the local host.

    :param rng: Selects random peers.
    """

    def __init__(
        self, *, store: ConfigStore, name: str, dc: str, rng: random.Random, now: float
    ) -> None:
        self._store = store
        self._rng = rng
        self.peers = Peers(hosts=(), name=name, dc=dc)
        self.started = False
        """Whether the initial state is loaded; records pushed by peers are ignored until then."""
        self._gap_detected = False
        self._last_contact_at = now
        self._log_end_read_at = float("-inf")
        self._read_policy = LogReadPolicy()
        self._outbox: list[Push] = []

    def handle_request(self, message: Message, *, now: float) -> Message | None:
        """Return the reply to a peer's message, or ``None`` if it isn't a config message."""
        if isinstance(message, ConfigOffset):
            self._last_contact_at = now
            self._merge_log_age(message, now=now)
            return self._reply_to_offset(message.offset, now=now)
        if isinstance(message, ConfigRecords):
            self._last_contact_at = now
            if self.started:
                self._apply_peer_records(message, now=now)
            return Ack()
        if isinstance(message, ConfigStateRequest):
            self._last_contact_at = now
            return ConfigSnapshot(self._store.offset, encode_envelope(self._store))
        return None

    def make_offset_message(self, *, now: float) -> ConfigOffset:
        """Return the request that starts a comparison of offsets with a peer."""
        return ConfigOffset(self._store.offset, self._log_age_ms(now))

    def choose_peer(self) -> HostEntry | None:
        """Choose a random peer for the next comparison, or ``None`` when there are no peers."""
        far = bool(self.peers.remote_peers) and self._rng.random() < OTHER_DC_COMPARE_SHARE
        chosen = self.peers.sample(self._rng, near=0 if far else 1, far=1 if far else 0)
        return chosen[0] if chosen else None

    def handle_reply(self, address: str, reply: Message, *, now: float) -> None:
        """Process a peer's reply to `ConfigOffset` or `ConfigStateRequest`.

        If the peer's offset is lower, a push of the records that it lacks is enqueued.
        """
        self._last_contact_at = now
        if isinstance(reply, ConfigRecords):
            self._merge_log_age(reply, now=now)
            if reply.offset < self._store.offset:
                self._enqueue_missing_records(address, reply.offset, now=now)
            else:
                self._apply_peer_records(reply, now=now)
        elif isinstance(reply, ConfigSnapshot):
            envelope = decode_envelope(reply.state)
            if envelope is None:
                return
            era = era_of(reply.offset)
            if first_number(era) + envelope.state.offset == reply.offset:
                self._store.adopt(
                    envelope.state,
                    oldest_needed_ms=envelope.oldest_needed_ms,
                    era=era,
                    restored=envelope.restored,
                )

    def apply_log_page(self, page: LogPage, *, now: float) -> list[LogRecord]:
        """Apply a page read from the log and enqueue pushes of its new records.

        :param page: Page with numbers for offsets.
        :returns: The records that were new.
        """
        applied = self._store.apply(page.records)
        if self._store.offset + 1 >= page.end_offset:
            self._log_end_read_at = now
        self._enqueue_pushes(applied, now=now)
        return applied

    def pop_pushes(self) -> list[Push]:
        """Empty the outbox and return its messages."""
        pushes, self._outbox = self._outbox, []
        return pushes

    def pop_gap_detected(self) -> bool:
        """Return and reset whether a peer's message revealed that records are missing.

        The caller then compares with a peer without waiting for the interval.
        """
        detected, self._gap_detected = self._gap_detected, False
        return detected

    def should_read_log(self, *, now: float) -> bool:
        """Return whether this process should read the log now."""
        if now - self._last_contact_at > ISOLATION_TIMEOUT_S:
            return True
        return self._read_policy.should_read(
            self.peers, log_age_s=now - self._log_end_read_at, now=now
        )

    def _reply_to_offset(self, offset: int, *, now: float) -> Message:
        records = self._store.records_after(offset, max_bytes=MAX_REPLY_BYTES)
        if records is None:
            return ConfigSnapshot(self._store.offset, encode_envelope(self._store))
        return self._make_records_message(records, now=now)

    def _apply_peer_records(self, message: ConfigRecords, *, now: float) -> None:
        applied = self._store.apply(decode_records(message.records), from_peer=True)
        self._gap_detected = self._gap_detected or message.offset > self._store.offset
        self._merge_log_age(message, now=now)
        self._enqueue_pushes(applied, now=now)

    def _make_records_message(self, records: Sequence[WireRecord], *, now: float) -> ConfigRecords:
        return ConfigRecords(list(records), self._store.offset, self._log_age_ms(now))

    def _log_age_ms(self, now: float) -> int:
        return round(min(UNKNOWN_AGE_MS, 1000 * (now - self._log_end_read_at)))

    def _merge_log_age(self, message: ConfigOffset | ConfigRecords, *, now: float) -> None:
        """Adopt a peer's later read of the log's end, unless records are missing here."""
        if message.offset <= self._store.offset and message.log_age_ms >= 0:
            self._log_end_read_at = max(self._log_end_read_at, now - message.log_age_ms / 1000)

    def _enqueue_missing_records(self, address: str, offset: int, *, now: float) -> None:
        records = self._store.records_after(offset, max_bytes=MAX_REPLY_BYTES)
        if records and len(records) <= MAX_PUSH_RECORDS:
            self._outbox.append(Push(address, self._make_records_message(records, now=now)))

    def _enqueue_pushes(self, applied: Sequence[LogRecord], *, now: float) -> None:
        if not applied or not self.started or len(applied) > MAX_PUSH_RECORDS:
            return
        message = self._make_records_message(list(map(encode_record, applied)), now=now)
        for peer in self.peers.sample(self._rng, near=PUSH_PEERS_SAME_DC, far=PUSH_PEERS_OTHER_DC):
            self._outbox.append(Push(peer.control, message))
