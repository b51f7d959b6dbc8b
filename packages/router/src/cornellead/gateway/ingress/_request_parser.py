"""Incremental parser of the requests on one connection."""

from __future__ import annotations

from enum import IntEnum
from typing import TYPE_CHECKING

import httptools

from cornellead.gateway.ingress._caller_request import CallerRequest
from cornellead_core.buffers import FIELD_OVERHEAD_BYTES

if TYPE_CHECKING:
    from cornellead_core.routing import CallerLimits
    from cornellead_core.routing import HeaderList


class RejectionStatus(IntEnum):
    """Status of the response to a request that is rejected before routing."""

    BAD_REQUEST = 400
    REQUEST_TIMEOUT = 408
    BODY_TOO_LARGE = 413
    HEADERS_TOO_LARGE = 431
    NO_ROOM = 503
    """The unfinished requests of all callers hold too much."""


class RequestParser:
    """Collects complete requests, and rejects those that another parser could read differently.

    A difference in reading would allow request smuggling. The ``on_`` methods are callbacks of
    httptools.

    :param limits: Limits on headers and bodies.
    """

    def __init__(self, *, limits: CallerLimits) -> None:
        self.limits = limits
        self._parser = httptools.HttpRequestParser(self)
        self._now = 0.0
        self._started_at: float | None = None
        self._headers_complete = False
        self._overhead_bytes = 0
        """Bytes received without a complete head or body data, which the parser may store."""
        self._parsed_header_bytes = 0
        self._target = bytearray()
        self._headers: HeaderList = []
        self._body = bytearray()
        self.requests: list[CallerRequest] = []
        """Complete requests that the connection has not started yet."""
        self.rejection: RejectionStatus | None = None
        """Why no further request can be read from the connection; ``None`` while one can."""
        self.expects_continue = False
        """Whether the caller waits for a ``100 Continue`` before it sends the body."""

    @property
    def has_partial_request(self) -> bool:
        """Whether a request was received in part."""
        return self._started_at is not None

    @property
    def has_input(self) -> bool:
        """Whether anything was received that is not answered yet, complete or not."""
        return bool(self.requests) or self.has_partial_request or self.rejection is not None

    @property
    def reading_headers(self) -> bool:
        """Whether the headers of a request are incomplete."""
        return self._started_at is not None and not self._headers_complete

    @property
    def partial_bytes(self) -> int:
        """Size of what is held of a request that was received in part."""
        fields = FIELD_OVERHEAD_BYTES * len(self._headers)
        if not self._headers_complete:
            return fields + self._overhead_bytes
        return fields + self._parsed_header_bytes + self._overhead_bytes + len(self._body)

    @property
    def held_bytes(self) -> int:
        """Size of what is held of requests that the connection has not started."""
        if not self.requests:
            return self.partial_bytes
        return self.partial_bytes + sum(req.held_bytes for req in self.requests)

    def drop_partial_request(self) -> None:
        """Reject the request that was received in part, and give up what is held of it."""
        self._reject(RejectionStatus.NO_ROOM)
        self._headers = []
        self._body = bytearray()
        self._target = bytearray()
        self._overhead_bytes = self._parsed_header_bytes = 0

    def feed(self, data: bytes, *, now: float) -> None:
        """Parse bytes, unless a request was rejected; complete ones are appended to `requests`.

        :param now: Seconds of the process clock.
        """
        self._now = now
        while data and self.rejection is None:
            data = self._feed_until_upgrade(data)

    def on_message_begin(self) -> None:
        """Record the start of a request that is pipelined behind another one."""
        if self._started_at is None:
            self._started_at = self._now

    def on_url(self, url: bytes) -> None:
        """Append a part of the request target."""
        self._target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a header; trailers after a chunked body are dropped."""
        if self._headers_complete:
            return
        # The parser strips white space in front of a value only (RFC 9112, section 5.1).
        self._headers.append((name, value.rstrip(b" \t")))
        self._parsed_header_bytes += len(name) + len(value)
        if self._parsed_header_bytes > self.limits.header_bytes:
            self._reject(RejectionStatus.HEADERS_TOO_LARGE)

    def on_headers_complete(self) -> None:
        """Reject ambiguous framing of the body, absolute targets and long bodies."""
        self._headers_complete = True
        self._overhead_bytes = 0
        lengths = [value for name, value in self._headers if name.lower() == b"content-length"]
        codings = [value for name, value in self._headers if name.lower() == b"transfer-encoding"]
        if len(lengths) > 1 or (lengths and codings):
            self._reject(RejectionStatus.BAD_REQUEST)
        if codings and [value.strip().lower() for value in codings] != [b"chunked"]:
            self._reject(RejectionStatus.BAD_REQUEST)
        if not self._target.startswith(b"/"):
            self._reject(RejectionStatus.BAD_REQUEST)
        if lengths and (not lengths[0].isdigit() or int(lengths[0]) > self.limits.body_bytes):
            self._reject(
                RejectionStatus.BODY_TOO_LARGE
                if lengths[0].isdigit()
                else RejectionStatus.BAD_REQUEST
            )
        self.expects_continue = any(
            name.lower() == b"expect" and value.strip().lower() == b"100-continue"
            for name, value in self._headers
        )

    def on_body(self, data: bytes) -> None:
        """Append a part of the body."""
        self._overhead_bytes = 0
        self._body += data
        if len(self._body) > self.limits.body_bytes:
            self._reject(RejectionStatus.BODY_TOO_LARGE)

    def on_message_complete(self) -> None:
        """Append the request to `requests` unless it was rejected."""
        if self._parser.should_upgrade():
            # Its body is still unread; `feed` goes on with it.
            return
        self.expects_continue = False
        if self.rejection is None:
            self.requests.append(
                CallerRequest(
                    method=self._parser.get_method(),
                    target=bytes(self._target),
                    headers=self._headers,
                    body=bytes(self._body),
                    received_at=self._now if self._started_at is None else self._started_at,
                    head_bytes=self._parsed_header_bytes
                    + FIELD_OVERHEAD_BYTES * len(self._headers),
                )
            )
        self._reset()

    def close(self) -> None:
        """Break the reference cycle between the httptools parser and this object."""
        del self._parser

    def _feed_until_upgrade(self, data: bytes) -> bytes:
        """Parse bytes up to the head of a request that offers another protocol, and return those
        that are still to be parsed."""
        if self._started_at is None:
            if not data.strip(b"\r\n"):
                # Empty lines before a request line are ignored (RFC 9112, section 2.2).
                return b""
            self._started_at = self._now
        self._overhead_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade as exc:
            (head_end,) = exc.args
            return self._decline_upgrade(data[head_end:])
        except httptools.HttpParserError:
            self._reject(RejectionStatus.BAD_REQUEST)
        if self._overhead_bytes > self.limits.header_bytes:
            self._reject(RejectionStatus.HEADERS_TOO_LARGE)
        return b""

    def _decline_upgrade(self, rest: bytes) -> bytes:
        """Return a request as one that does not offer another protocol (RFC 9110, section 7.8).

        The parser ends at the head of such a request, and takes what follows for another protocol.

        :param rest: What follows the head.
        """
        method, target = self._parser.get_method(), bytes(self._target)
        version = self._parser.get_http_version().encode()
        lines = [b"%b %b HTTP/%b" % (method, target, version)]
        lines += [b"%b: %b" % field for field in self._headers if field[0].lower() != b"upgrade"]
        started_at = self._started_at
        self._reset()
        self._started_at = started_at
        self._parser = httptools.HttpRequestParser(self)
        if method == b"CONNECT":
            self._reject(RejectionStatus.BAD_REQUEST)
            return b""
        return b"\r\n".join([*lines, b"", rest])

    def _reject(self, rejection: RejectionStatus) -> None:
        if self.rejection is None:
            self.rejection = rejection

    def _reset(self) -> None:
        self._started_at = None
        self._headers_complete = False
        self._overhead_bytes = 0
        self._parsed_header_bytes = 0
        self._target = bytearray()
        self._headers = []
        self._body = bytearray()
