"""Decisions of the distribution: whom to tell, when to read the log, what to answer."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple

from cornellead_core.distribution._config_store import decode_envelope
from cornellead_core.distribution._config_store import decode_records
from cornellead_core.distribution._config_store import encode_envelope
from cornellead_core.distribution._config_store import encode_record
from cornellead_core.distribution._log_read_policy import LogReadPolicy
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

PUSH_NEAR = 4
PUSH_FAR = 1
MAX_PUSH_RECORDS = 32
"""Longer runs come from a process that catches up; its peers know them or compare offsets."""
MAX_ANSWER_BYTES = 64 << 10
FAR_SHARE = 0.25
"""Share of comparisons with another data centre; heals one whose pushes were all lost."""
ISOLATED_S = 5.0
"""Time without any peer after which a process reads the log itself."""
PROBE_OFFSET = 1 << 62
"""Above any offset, so that a peer answers with its own offset and no records."""


class Push(NamedTuple):
    """A message for a peer."""

    address: str
    message: Message


class ConfigExchange:
    """State of the distribution in one process; does no I/O.

    All times are monotonic seconds of the local host.

    :param rng: Chooses peers.
    """

    def __init__(
        self, *, store: ConfigStore, name: str, dc: str, rng: random.Random, now: float
    ) -> None:
        self._store = store
        self._rng = rng
        self.peers = Peers(hosts=(), name=name, dc=dc)
        self.started = False
        """Whether the first state was chosen; pushes before that are ignored."""
        self._gap = False
        self._contact_at = now
        self._log_end_at = float("-inf")
        self._read_policy = LogReadPolicy()
        self._outbox: list[Push] = []

    def answer(self, message: Message, *, now: float) -> Message | None:
        """Answer a message of a peer, or return ``None`` if it is not about configuration."""
        if isinstance(message, ConfigOffset):
            self._contact_at = now
            self._merge_log_age(message, now=now)
            return self._answer_offset(message.offset, now=now)
        if isinstance(message, ConfigRecords):
            self._contact_at = now
            if self.started:
                self._take_records(message, now=now)
            return Ack()
        if isinstance(message, ConfigStateRequest):
            self._contact_at = now
            return ConfigSnapshot(self._store.offset, encode_envelope(self._store))
        return None

    def compare(self, *, now: float) -> ConfigOffset:
        """Return the message that starts a comparison of offsets."""
        return ConfigOffset(self._store.offset, self._log_age_ms(now))

    def choose_peer(self) -> HostEntry | None:
        """Choose the peer for the next comparison."""
        far = bool(self.peers.far) and self._rng.random() < FAR_SHARE
        chosen = self.peers.sample(self._rng, near=0 if far else 1, far=1 if far else 0)
        return chosen[0] if chosen else None

    def take_answer(self, address: str, answer: Message, *, now: float) -> None:
        """Take a peer's answer to `compare` or to a request for its state."""
        self._contact_at = now
        if isinstance(answer, ConfigRecords):
            self._merge_log_age(answer, now=now)
            if answer.offset < self._store.offset:
                self._push_missing(address, answer.offset, now=now)
            else:
                self._take_records(answer, now=now)
        elif isinstance(answer, ConfigSnapshot):
            envelope = decode_envelope(answer.state)
            if envelope is not None:
                self._store.adopt(envelope.state, needed_since_ms=envelope.needed_since_ms)

    def take_page(self, page: LogPage, *, now: float) -> list[LogRecord]:
        """Take a page of the log.

        :returns: The records that were new.
        """
        applied = self._store.apply(page.records)
        if self._store.offset + 1 >= page.end_offset:
            self._log_end_at = now
        self._push_to_peers(applied, now=now)
        return applied

    def take_pushes(self) -> list[Push]:
        """Return the messages to send and forget them."""
        pushes, self._outbox = self._outbox, []
        return pushes

    def take_gap(self) -> bool:
        """Return whether a push did not connect to the state since the last call.

        A comparison with a peer is then due at once.
        """
        gap, self._gap = self._gap, False
        return gap

    def reads_log(self, *, now: float) -> bool:
        """Return whether this process should read the log now."""
        if now - self._contact_at > ISOLATED_S:
            return True
        return self._read_policy.reads(self.peers, log_age_s=now - self._log_end_at, now=now)

    def _answer_offset(self, offset: int, *, now: float) -> Message:
        records = self._store.records_above(offset, max_bytes=MAX_ANSWER_BYTES)
        if records is None:
            return ConfigSnapshot(self._store.offset, encode_envelope(self._store))
        return self._records_message(records, now=now)

    def _take_records(self, message: ConfigRecords, *, now: float) -> None:
        applied = self._store.apply(decode_records(message.records), from_peer=True)
        self._gap = self._gap or message.offset > self._store.offset
        self._merge_log_age(message, now=now)
        self._push_to_peers(applied, now=now)

    def _records_message(self, records: Sequence[WireRecord], *, now: float) -> ConfigRecords:
        return ConfigRecords(list(records), self._store.offset, self._log_age_ms(now))

    def _log_age_ms(self, now: float) -> int:
        return round(min(UNKNOWN_AGE_MS, 1000 * (now - self._log_end_at)))

    def _merge_log_age(self, message: ConfigOffset | ConfigRecords, *, now: float) -> None:
        """Take over what a peer knows of the log's end, if this process has its records."""
        if message.offset <= self._store.offset and message.log_age_ms >= 0:
            self._log_end_at = max(self._log_end_at, now - message.log_age_ms / 1000)

    def _push_missing(self, address: str, offset: int, *, now: float) -> None:
        records = self._store.records_above(offset, max_bytes=MAX_ANSWER_BYTES)
        if records and len(records) <= MAX_PUSH_RECORDS:
            self._outbox.append(Push(address, self._records_message(records, now=now)))

    def _push_to_peers(self, applied: Sequence[LogRecord], *, now: float) -> None:
        if not applied or not self.started or len(applied) > MAX_PUSH_RECORDS:
            return
        message = self._records_message(list(map(encode_record, applied)), now=now)
        for peer in self.peers.sample(self._rng, near=PUSH_NEAR, far=PUSH_FAR):
            self._outbox.append(Push(peer.control, message))
