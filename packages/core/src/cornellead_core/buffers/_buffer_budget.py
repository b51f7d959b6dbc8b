"""Bound on the sum of what many holders buffer."""

from __future__ import annotations

import weakref
from typing import NamedTuple
from typing import Protocol

MAX_BUFFERED_BYTES = 32 << 20
"""Bytes that all responses in progress may hold together: a sixth of the memory of the smallest
hosts, which have 200 MB."""
MIN_RECORDED_BYTES = 4096
"""Size below which a holder is not counted, which spares the work for most streams."""


class BufferHolder(Protocol):
    """Holds bytes that it received and nobody has consumed yet."""

    def drop_buffer(self) -> None:
        """Give up the response and what is held of it."""
        ...


class _Held(NamedTuple):
    holder: weakref.ref[BufferHolder]
    size: int


class BufferBudget:
    """Lets the largest holders give up while all of them hold more than a limit.

    A limit on each response does not bound their sum. A server that sends bytes without end holds
    more than a sound response does, so the largest goes first.

    :param limit_bytes: Maximum of the sum.
    """

    def __init__(self, *, limit_bytes: int = MAX_BUFFERED_BYTES) -> None:
        self._limit_bytes = limit_bytes
        self._held: dict[int, _Held] = {}
        self.used_bytes = 0
        """Sum of what the holders hold."""
        self.dropped = 0
        """Number of holders that had to give up."""

    def record(self, holder: BufferHolder, size: int) -> None:
        """Record how much a holder holds now.

        :param size: Bytes.
        """
        key = id(holder)
        known = self._held.get(key)
        if known is None:
            if size < MIN_RECORDED_BYTES:
                return
            # A holder that nobody uses any more is not counted either.
            ref = weakref.ref(holder, lambda _: self._remove(key))
        else:
            ref = known.holder
            self.used_bytes -= known.size
        if size < MIN_RECORDED_BYTES:
            del self._held[key]
            return
        self._held[key] = _Held(ref, size)
        self.used_bytes += size
        while self.used_bytes > self._limit_bytes:
            self._drop_largest()

    def _drop_largest(self) -> None:
        key = max(self._held, key=lambda key: self._held[key].size)
        holder = self._held[key].holder()
        self._remove(key)
        self.dropped += 1
        if holder is not None:
            holder.drop_buffer()

    def _remove(self, key: int) -> None:
        held = self._held.pop(key, None)
        if held is not None:
            self.used_bytes -= held.size
