"""What routers tell each other about crashes, and the queue of what is still to be told."""

from __future__ import annotations

from collections import OrderedDict
from enum import StrEnum
from typing import NamedTuple

OWN_ROUNDS = 4
"""Messages in which new evidence of this router is sent: datagrams may be lost."""
RELAY_ROUNDS = 2
"""Messages in which new evidence of another router is passed on: with hundreds of routers, each
message reaches a few of them."""
MAX_ITEMS = 8
"""Maximum number of items of one kind in a message, to keep it within one packet."""
MAX_QUEUED = 1024
"""Maximum number of items that wait to be sent."""


class CrashItem(NamedTuple):
    """`CrashReport` with an age in place of a time."""

    request: int
    server: int
    parts: tuple[str, ...]
    age_s: float


class AnswerItem(NamedTuple):
    """Latest answer to a request with a part."""

    part: str
    age_s: float


class QuarantineItem(NamedTuple):
    """`QuarantinedPart` with an age in place of a time."""

    part: str
    strikes: int
    crashes: int
    age_s: float


class Evidence(NamedTuple):
    """Message between routers. Ages are used, since the clocks of routers differ."""

    router: str
    crashes: list[CrashItem]
    answers: list[AnswerItem]
    quarantined: list[QuarantineItem]


class EvidenceKind(StrEnum):
    """Kind of an item in an `Evidence` message."""

    CRASH = "crash"
    ANSWER = "answer"
    QUARANTINE = "quarantine"


ItemKey = int | str
"""Identifier of an item among those of its kind."""


class EvidenceQueue:
    """Items that are still to be sent, the oldest first.

    >>> queue = EvidenceQueue()
    >>> queue.put(EvidenceKind.ANSWER, "a1", rounds=2)
    >>> queue.take(EvidenceKind.ANSWER), queue.take(EvidenceKind.ANSWER)
    (['a1'], ['a1'])
    >>> queue.take(EvidenceKind.ANSWER)
    []
    """

    def __init__(self) -> None:
        self._rounds: OrderedDict[tuple[EvidenceKind, ItemKey], int] = OrderedDict()
        self.has_new = False
        """Whether an item was added since the last message."""

    def put(self, kind: EvidenceKind, key: ItemKey, *, rounds: int) -> None:
        """Send an item in the next messages.

        :param rounds: Number of messages.
        """
        self.has_new = self.has_new or (kind, key) not in self._rounds
        self._rounds[kind, key] = max(rounds, self._rounds.get((kind, key), 0))
        if len(self._rounds) > MAX_QUEUED:
            self._rounds.popitem(last=False)

    def take(self, kind: EvidenceKind) -> list[ItemKey]:
        """Return the keys of the items for the next message."""
        self.has_new = False
        keys = [key for (queued_kind, key) in self._rounds if queued_kind is kind][:MAX_ITEMS]
        for key in keys:
            rounds = self._rounds.pop((kind, key)) - 1
            if rounds > 0:
                self._rounds[kind, key] = rounds
        return keys
