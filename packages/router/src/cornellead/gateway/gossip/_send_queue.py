"""Queue of the items that are still to be told to other routers."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Hashable
from typing import Generic
from typing import TypeVar

OWN_ROUNDS = 4
"""Messages in which news of this router is sent: datagrams may be lost."""
RELAY_ROUNDS = 2
"""Messages in which news of another router is passed on: with hundreds of routers, each message
reaches a few of them."""
MAX_ITEMS = 8
"""Maximum number of items of one kind in a message, to keep it within one packet."""
MAX_QUEUED = 1024
"""Maximum number of items that wait to be sent."""

KeyT = TypeVar("KeyT", bound=Hashable)


class SendQueue(Generic[KeyT]):
    """Keys of items to be sent, the oldest first.

    >>> queue = SendQueue[str]()
    >>> queue.put("a1", rounds=2)
    >>> queue.take(), queue.take(), queue.take()
    (['a1'], ['a1'], [])
    """

    def __init__(self) -> None:
        self._rounds: OrderedDict[KeyT, int] = OrderedDict()
        self.has_new = False
        """Whether an item was added since the last message."""

    def put(self, key: KeyT, *, rounds: int) -> None:
        """Send an item in the next messages.

        :param rounds: Number of messages.
        """
        self.has_new = self.has_new or key not in self._rounds
        self._rounds[key] = max(rounds, self._rounds.get(key, 0))
        if len(self._rounds) > MAX_QUEUED:
            self._rounds.popitem(last=False)

    def take(self) -> list[KeyT]:
        """Return the keys of the items for the next message."""
        self.has_new = False
        keys = list(self._rounds)[:MAX_ITEMS]
        for key in keys:
            rounds = self._rounds.pop(key) - 1
            if rounds > 0:
                self._rounds[key] = rounds
        return keys
