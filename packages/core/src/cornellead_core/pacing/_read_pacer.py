"""Bound on what is read in one turn of the event loop."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING
from typing import Protocol

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Hashable

SLICE_BYTES = 8 << 10
"""Maximum size of one read. Parsing it takes half a millisecond if each byte is a chunk, and some
milliseconds if it holds tiny header fields."""
TURN_BYTES = 8 * SLICE_BYTES
"""Bytes read in a turn above which further reads are small: a request takes about ten turns, and
has 0.63 s to its first token."""
PEER_BYTES = 2 * SLICE_BYTES
"""Bytes read from one peer in a turn above which its connections wait for later turns."""
SMALL_READ_BYTES = 512
"""Maximum size of a read in a turn that has used up its bytes: most heads and events fit."""
REGAINED_BYTES = 4 * SMALL_READ_BYTES
"""Bytes by which the use of a peer falls in each turn while the loop is overloaded."""
RESUMED_READERS = 4
"""Waiting connections that read again in the next turn: half of the bytes of a turn, which leaves
the rest to peers that do not wait."""


class PacedReader(Protocol):
    """A connection whose reads are paced."""

    def set_throttled(self, throttled: bool) -> None:
        """Stop reading, or go on."""
        ...


class ReadPacer:
    """Shares the reads in each turn of the event loop among peers.

    What received bytes cost in processor time depends on how their peer has cut them, and the loop
    runs nothing else meanwhile. Without a bound on each turn, one peer delays all others, and
    time-outs expire although what they wait for has arrived.

    A peer that sends more than its share waits, and the waiting peers take turns. What they send
    stays in the socket, so that flow control slows them down.

    :param call_soon: Runs a callback in the next turn of the event loop.
    """

    def __init__(self, *, call_soon: Callable[[Callable[[], None]], object]) -> None:
        self._call_soon = call_soon
        self._used_bytes: dict[Hashable, int] = {}
        self._turn_bytes = 0
        self._turn_ends = False
        self._waiting: dict[Hashable, deque[PacedReader]] = {}
        self.read_size = SLICE_BYTES
        """Maximum size of the next read, in bytes."""
        self.throttled = 0
        """Number of times a connection had to wait."""

    @property
    def waiting(self) -> int:
        """Number of connections that wait for a turn."""
        return sum(len(readers) for readers in self._waiting.values())

    def charge(self, reader: PacedReader, peer: Hashable, size: int) -> None:
        """Count bytes that were read, and make the reader wait if its peer has used its share.

        :param peer: Whose bytes they are; all connections to a peer share its part.
        :param size: Bytes.
        """
        self._turn_bytes += size
        if self._turn_bytes < SLICE_BYTES:
            # Nothing is charged and no callback is due yet: the reads of calm turns add up.
            return
        if not self._turn_ends:
            self._turn_ends = True
            self._call_soon(self._begin_turn)
        used_bytes = self._used_bytes[peer] = self._used_bytes.get(peer, 0) + size
        share = PEER_BYTES
        if self._turn_bytes >= TURN_BYTES:
            self.read_size = SMALL_READ_BYTES
            share = 2 * SMALL_READ_BYTES
        if used_bytes <= share:
            return
        self.throttled += 1
        self._waiting.setdefault(peer, deque()).append(reader)
        reader.set_throttled(True)

    def forget(self, reader: PacedReader, peer: Hashable) -> None:
        """Remove a reader that has closed."""
        readers = self._waiting.get(peer)
        if readers is None or reader not in readers:
            return
        readers.remove(reader)
        if not readers:
            del self._waiting[peer]

    def _begin_turn(self) -> None:
        self._settle_use()
        self._turn_bytes = 0
        self.read_size = SLICE_BYTES
        self._turn_ends = bool(self._waiting)
        if self._turn_ends:
            self._call_soon(self._begin_turn)
        for _ in range(RESUMED_READERS):
            if not self._waiting:
                break
            self._resume_next()

    def _settle_use(self) -> None:
        """Forget what the peers used, or a part of it if the loop is overloaded: those whose
        connections are polled first would use up each turn."""
        if self._turn_bytes < TURN_BYTES and not self._waiting:
            self._used_bytes.clear()
            return
        self._used_bytes = {
            peer: used - REGAINED_BYTES
            for peer, used in self._used_bytes.items()
            if used > REGAINED_BYTES
        }

    def _resume_next(self) -> None:
        """Let the peer that has waited longest read on one of its connections."""
        peer = next(iter(self._waiting))
        readers = self._waiting.pop(peer)
        reader = readers.popleft()
        if readers:
            # Behind all others that wait.
            self._waiting[peer] = readers
        # Enough for one read.
        self._used_bytes[peer] = PEER_BYTES
        reader.set_throttled(False)
