"""Rejections of requests that no application has seen."""

from __future__ import annotations

from enum import IntEnum
from http import HTTPStatus
from typing import TYPE_CHECKING
from typing import Protocol

if TYPE_CHECKING:
    from collections.abc import Sequence


class Rejection(IntEnum):
    """Status of the response to a request that is rejected before it runs."""

    BAD_REQUEST = 400
    REQUEST_TIMEOUT = 408
    HEADERS_TOO_LARGE = 431
    NO_ROOM = 503
    """The requests of all callers hold too much."""


MESSAGES = {
    Rejection.BAD_REQUEST: "the request is not valid HTTP/1.1",
    Rejection.REQUEST_TIMEOUT: "the request did not arrive in time; send it without pauses",
    Rejection.HEADERS_TOO_LARGE: "the headers are too large; shorten them",
    Rejection.NO_ROOM: "the requests in progress hold all memory for callers; retry later",
}


class RejectionEncoder(Protocol):
    """Encodes rejections in the format of an interface."""

    def __call__(
        self, rejection: Rejection, message: str, headers: Sequence[tuple[bytes, bytes]]
    ) -> bytes:
        """Return the whole response, which announces the close.

        :param headers: Those of the request, names in lower case; empty if they are not complete.
        """
        ...


def encode_json_response(status: int, headers: Sequence[tuple[bytes, bytes]], body: bytes) -> bytes:
    """Return a response with a JSON body, after which the connection closes.

    >>> encode_json_response(400, [(b"a", b"b")], b"{}").split(b"\\r\\n")[:2]
    [b'HTTP/1.1 400 Bad Request', b'a: b']
    """
    lines = [b"HTTP/1.1 %d %b" % (status, HTTPStatus(status).phrase.encode())]
    lines += [b"%b: %b" % header for header in headers]
    lines += [b"content-type: application/json", b"content-length: %d" % len(body)]
    return b"\r\n".join([*lines, b"connection: close", b"", body])
