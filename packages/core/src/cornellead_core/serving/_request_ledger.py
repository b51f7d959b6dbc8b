"""Sizes of the requests of one connection."""

from __future__ import annotations

from collections import deque

REQUEST_STATE_BYTES = 3 << 10
"""Memory that the state of a request takes besides its head and body: 222,000 took 600 MB."""


class RequestLedger:
    """Keeps the size of each request, from its head to the end of its response.

    >>> requests = RequestLedger()
    >>> requests.begin(100)
    >>> requests.add_body(5000)
    >>> requests.active_bytes
    8172
    """

    def __init__(self) -> None:
        self._sizes: deque[int] = deque()
        """In the order of arrival; the first is in progress."""

    @property
    def active_bytes(self) -> int:
        """Size of the request in progress."""
        return self._sizes[0] if self._sizes else 0

    @property
    def waiting_bytes(self) -> int:
        """Size of what the requests behind it hold."""
        return sum(self._sizes) - self.active_bytes

    def begin(self, head_bytes: int) -> None:
        """Add a request whose head is complete."""
        self._sizes.append(REQUEST_STATE_BYTES + head_bytes)

    def add_body(self, size: int) -> None:
        """Add a part of the body to the last request."""
        if self._sizes:
            self._sizes[-1] += size

    def end(self) -> None:
        """Remove the request in progress."""
        if self._sizes:
            self._sizes.popleft()

    def clear(self) -> None:
        """Remove all requests."""
        self._sizes.clear()

    def drop_waiting(self) -> None:
        """Remove all requests behind the one in progress."""
        while len(self._sizes) > 1:
            self._sizes.pop()
