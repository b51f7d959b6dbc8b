"""Interface for writing a response, and encoding of HTTP/1.1 responses."""

from __future__ import annotations

from http import HTTPStatus
from typing import TYPE_CHECKING
from typing import Protocol

if TYPE_CHECKING:
    from collections.abc import Sequence

_REASON_PHRASES = {status.value: status.phrase.encode() for status in HTTPStatus}
LAST_CHUNK = b"0\r\n\r\n"
BODILESS_STATUSES = frozenset({204, 304})


class ResponseWriter(Protocol):
    """Writes one response: complete with `respond`, or chunked with `begin`, `write` and `end`."""

    @property
    def started(self) -> bool:
        """Whether at least the head of the response was written."""
        ...

    def respond(self, status: int, headers: Sequence[tuple[bytes, bytes]], body: bytes) -> None:
        """Write a complete response."""
        ...

    def begin(self, status: int, headers: Sequence[tuple[bytes, bytes]]) -> None:
        """Write the head of a chunked response."""
        ...

    async def write(self, data: bytes) -> None:
        """Write a chunk of the body; waits while the caller reads slowly."""
        ...

    def end(self) -> None:
        """Complete a chunked response."""
        ...

    def abort(self) -> None:
        """Reset the connection, so that a partial response does not look complete."""
        ...


def encode_head(
    status: int, headers: Sequence[tuple[bytes, bytes]], *, length: int | None, close: bool
) -> bytes:
    """Return the status line and headers of a response.

    :param headers: May hold the length that the answer to HEAD announces.
    :param length: Length of the body in bytes, or ``None`` if it is chunked.
    :param close: Whether the connection closes after the response.
    """
    lines = [b"HTTP/1.1 %d %b" % (status, _REASON_PHRASES.get(status, b"Status"))]
    lines += [b"%b: %b" % header for header in headers]
    if length is None:
        lines.append(b"Transfer-Encoding: chunked")
    elif status not in BODILESS_STATUSES and not _announce_length(headers):
        lines.append(b"Content-Length: %d" % length)
    if close:
        lines.append(b"Connection: close")
    return b"\r\n".join(lines) + b"\r\n\r\n"


def _announce_length(headers: Sequence[tuple[bytes, bytes]]) -> bool:
    return any(name.lower() == b"content-length" for name, _ in headers)


def encode_chunk(data: bytes) -> bytes:
    """Return a chunk in the chunked transfer coding.

    >>> encode_chunk(b"abc")
    b'3\\r\\nabc\\r\\n'
    """
    return b"%x\r\n%b\r\n" % (len(data), data)
