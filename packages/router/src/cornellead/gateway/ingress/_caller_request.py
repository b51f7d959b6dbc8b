"""A complete request as a caller sent it."""

from __future__ import annotations

from typing import NamedTuple

from cornellead_core.routing import HeaderList


class CallerRequest(NamedTuple):
    """Request line, headers and body of one request."""

    method: bytes
    target: bytes
    """Path and query, not decoded."""
    headers: HeaderList
    body: bytes
    received_at: float
    """When the first byte arrived, in seconds of the process clock."""
    head_bytes: int = 0
    """Memory that the headers take, in bytes."""

    @property
    def held_bytes(self) -> int:
        """Memory that the request takes, in bytes."""
        return self.head_bytes + len(self.body)

    @property
    def path(self) -> str:
        """Path without the query."""
        return self.target.partition(b"?")[0].decode("latin-1")

    def header(self, name: bytes) -> str:
        """Return the first value of a header, or an empty string.

        :param name: In lower case.
        """
        for key, value in self.headers:
            if key.lower() == name:
                return value.decode("latin-1")
        return ""
