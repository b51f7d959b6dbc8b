"""Response to one request of a caller."""

from __future__ import annotations

from http import HTTPStatus
from typing import TYPE_CHECKING
from typing import Protocol

if TYPE_CHECKING:
    from collections.abc import Sequence

_REASONS = {status.value: status.phrase.encode() for status in HTTPStatus}
LAST_CHUNK = b"0\r\n\r\n"
BODILESS = frozenset({204, 304})


class ResponseWriter(Protocol):
    """Writes one response; either `respond`, or `begin`, `write` and `end`."""

    @property
    def started(self) -> bool:
        """Whether a part of the response was written."""
        ...

    def respond(self, status: int, headers: Sequence[tuple[bytes, bytes]], body: bytes) -> None:
        """Write a whole response."""
        ...

    def begin(self, status: int, headers: Sequence[tuple[bytes, bytes]]) -> None:
        """Write the head of a response whose length is not known."""
        ...

    async def write(self, data: bytes) -> None:
        """Write a part of the body, waiting while the caller reads slowly."""
        ...

    def end(self) -> None:
        """Finish a response that was begun."""
        ...

    def abort(self) -> None:
        """Break off a response that was begun, so that it cannot look complete."""
        ...


def encode_head(
    status: int, headers: Sequence[tuple[bytes, bytes]], *, length: int | None, close: bool
) -> bytes:
    """Encode the head of a response.

    :param length: Length of the body, or ``None`` for chunks.
    :param close: Whether the connection closes after the response.
    """
    lines = [b"HTTP/1.1 %d %b" % (status, _REASONS.get(status, b"Status"))]
    lines += [b"%b: %b" % header for header in headers]
    if length is None:
        lines.append(b"Transfer-Encoding: chunked")
    elif status not in BODILESS:
        lines.append(b"Content-Length: %d" % length)
    if close:
        lines.append(b"Connection: close")
    return b"\r\n".join(lines) + b"\r\n\r\n"


def encode_chunk(data: bytes) -> bytes:
    """Encode a chunk of a body.

    >>> encode_chunk(b"abc")
    b'3\\r\\nabc\\r\\n'
    """
    return b"%x\r\n%b\r\n" % (len(data), data)
