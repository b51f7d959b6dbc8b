"""Received bytes that are not complete yet."""

from __future__ import annotations

from collections import deque


class ByteQueue:
    """Keeps bytes in the pieces in which they arrived, until enough are there.

    One growing buffer would be copied as it grows, and large ones fragment the heap.

    >>> queue = ByteQueue()
    >>> queue.append(b"abc")
    >>> queue.append(b"de")
    >>> queue.take(4), queue.take(2), len(queue)
    (b'abcd', None, 1)
    """

    def __init__(self) -> None:
        self._pieces: deque[bytes] = deque()
        self._size = 0

    def __len__(self) -> int:
        return self._size

    def append(self, piece: bytes) -> None:
        """Add bytes at the end."""
        self._pieces.append(piece)
        self._size += len(piece)

    def take(self, size: int) -> bytes | None:
        """Remove bytes from the front; ``None`` if there are fewer."""
        if size > self._size:
            return None
        taken: list[bytes] = []
        missing = size
        while missing:
            piece = self._pieces.popleft()
            if len(piece) > missing:
                self._pieces.appendleft(piece[missing:])
            taken.append(piece[:missing])
            missing -= len(taken[-1])
        self._size -= size
        return b"".join(taken)

    def clear(self) -> None:
        """Remove all bytes."""
        self._pieces.clear()
        self._size = 0
