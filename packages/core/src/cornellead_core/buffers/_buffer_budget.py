"""Bound on the sum of what many holders buffer."""

from __future__ import annotations

import weakref
from collections import Counter
from collections import defaultdict
from typing import NamedTuple
from typing import Protocol

MAX_BUFFERED_BYTES = 32 << 20
"""Bytes that the holders of one budget may hold together: a sixth of the memory of the smallest
hosts, which have 200 MB. A gateway has one for responses and one for unfinished requests."""
MAX_USUAL_PIN_BYTES = 64 << 10
"""Size of a pinned request above which `LARGE_PIN_SHARE` applies."""
LARGE_PIN_SHARE = 0.75
"""Part of a budget that large pinned requests may take; the rest is left to usual ones."""
MIN_RECORDED_BYTES = 4096
"""Size below which a holder is not counted, which spares the work for most streams."""


class BufferHolder(Protocol):
    """Holds bytes that it received and nobody has consumed yet."""

    def drop_buffer(self) -> None:
        """Give up the response or unfinished request, and what is held of it."""
        ...


class BufferOwner(NamedTuple):
    """Sender of the bytes that a holder holds."""

    service: str = ""
    """Service of the server; empty for a caller, and if it is unknown."""
    server: str = ""
    """Address of the server or of the caller; empty if all bytes have the same sender."""


UNKNOWN_OWNER = BufferOwner()


class BufferBudget:
    """Lets holders give up while all of them hold more than a limit.

    A limit on each response does not bound their sum. The service that holds the most gives way
    first, so one that holds no more than an equal share loses nothing, however small the responses
    of the others are. Within it the server that holds the most gives way, and within that one the
    largest response of those that have stood still for longest.

    :param limit_bytes: Maximum of the sum.
    """

    def __init__(self, *, limit_bytes: int = MAX_BUFFERED_BYTES) -> None:
        self._limit_bytes = limit_bytes
        self._shares: defaultdict[BufferOwner, _Share] = defaultdict(_Share)
        self.used_bytes = 0
        """Sum of what the holders hold."""
        self.pinned_bytes = 0
        """What is held beside the holders and cannot be given up, such as requests in progress."""
        self._large_pins = 0
        self.dropped = 0
        """Number of holders that had to give up."""
        self.refused = 0
        """Number of times that `try_pin` found no room."""

    def record(
        self, holder: BufferHolder, size: int, *, owner: BufferOwner = UNKNOWN_OWNER
    ) -> None:
        """Record how much a holder holds now.

        :param size: Bytes.
        :param owner: The same in all calls for a holder.
        """
        key = id(holder)
        share = self._shares.get(owner)
        known = None if share is None else share.held.get(key)
        if known is not None and size < known.size:
            # It has passed something on, so it is as young as one that has just begun.
            self._remove(owner, key)
        elif known is None and size < MIN_RECORDED_BYTES:
            return
        if size < MIN_RECORDED_BYTES:
            return
        # A holder that nobody uses any more is not counted either.
        ref = known.holder if known else weakref.ref(holder, lambda _: self._remove(owner, key))
        held = _Held(ref, size)
        # From here on nothing is allocated that could start a collection, which removes others.
        share = self._shares[owner]
        grown = size - share.size_of(key)
        share.held[key] = held
        share.size += grown
        self.used_bytes += grown
        self._make_room()

    def try_pin(self, size: int) -> bool:
        """Count bytes that cannot be given up until `unpin`; holders give way to them.

        A large request always has room while no other one is pinned, since callers may send one of
        any size up to the configured limit.

        :param size: Bytes.
        :returns: ``False`` if what is pinned leaves no room; nothing is counted then.
        """
        large = size > MAX_USUAL_PIN_BYTES
        limit = int(LARGE_PIN_SHARE * self._limit_bytes) if large else self._limit_bytes
        only_large = large and not self._large_pins
        if self.pinned_bytes + size > limit and not only_large:
            self.refused += 1
            return False
        self.pinned_bytes += size
        self._large_pins += large
        self._make_room()
        return True

    def unpin(self, size: int) -> None:
        """Stop counting bytes of `try_pin`."""
        self.pinned_bytes -= size
        self._large_pins -= size > MAX_USUAL_PIN_BYTES

    def _make_room(self) -> None:
        while self._shares and self.used_bytes + self.pinned_bytes > self._limit_bytes:
            self._drop_one()

    def _drop_one(self) -> None:
        shares = list(self._shares.items())
        services: Counter[str] = Counter()
        for owner, share in shares:
            services[owner.service] += share.size
        ((service, _),) = services.most_common(1)
        owner, share = max(
            (item for item in shares if item[0].service == service), key=lambda item: item[1].size
        )
        holder = self._remove(owner, share.find_largest_of_older_half())
        self.dropped += 1
        if holder is not None:
            holder.drop_buffer()

    def _remove(self, owner: BufferOwner, key: int) -> BufferHolder | None:
        share = self._shares.get(owner)
        held = None if share is None else share.held.pop(key, None)
        if share is None or held is None:
            return None
        self.used_bytes -= held.size
        share.size -= held.size
        if not share.held:
            del self._shares[owner]
        return held.holder()


class _Held(NamedTuple):
    holder: weakref.ref[BufferHolder]
    size: int


class _Share:
    """What the holders of one owner hold."""

    def __init__(self) -> None:
        self.size = 0
        self.held: dict[int, _Held] = {}
        """In the order in which they began to hold, or last passed something on."""

    def size_of(self, key: int) -> int:
        """Return what a holder holds, in bytes."""
        held = self.held.get(key)
        return 0 if held is None else held.size

    def find_largest_of_older_half(self) -> int:
        """Return the largest of the first holders that have half of the bytes together.

        A sound response is short-lived, so it is rarely among them beside some without end.
        """
        largest, largest_size, total = 0, -1, 0
        # A copy, since a collection may remove holders at any time.
        for key in list(self.held):
            size = self.size_of(key)
            total += size
            if size > largest_size:
                largest, largest_size = key, size
            if 2 * total >= self.size:
                break
        return largest
