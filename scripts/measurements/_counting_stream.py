"""A caller that counts stream events at little cost."""

from __future__ import annotations

import asyncio
import json
from typing import Any

EVENT = b"\nid: "
DONE = b"data: [DONE]"
HEAD_END = b"\r\n\r\n"
TAIL_BYTES = 300
"""End of a response that holds the last event, the comment after it and the final chunk."""


class CountingStream(asyncio.Protocol):
    """Sends one request and counts the events of its stream without parsing them.

    An HTTP client that parses each chunk takes more than a core at 18,000 events a second.
    """

    def __init__(self, *, request: bytes) -> None:
        self.events = 0
        self.closed: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._request = request
        self._head = b""
        self._tail = b""

    @property
    def failure(self) -> str:
        """Why the response is not complete, or empty."""
        if DONE in self._tail and b" 200 " in self._head.split(b"\r\n", 1)[0]:
            return ""
        return (self._head[:20] + self._tail[-200:]).decode(errors="replace")

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Send the request."""
        assert isinstance(transport, asyncio.Transport)
        transport.write(self._request)

    def data_received(self, data: bytes) -> None:
        """Count events."""
        if not self._head:
            self._head = data.partition(HEAD_END)[0]
        # An event number that is split between two reads is found through the last bytes kept.
        seen = self._tail[-len(EVENT) + 1 :] + data
        self.events += seen.count(EVENT)
        self._tail = (self._tail + data)[-TAIL_BYTES:]

    def connection_lost(self, exc: Exception | None) -> None:
        """Finish."""
        if not self.closed.done():
            self.closed.set_result(None)


def encode_request(*, host: str, token: str, body: dict[str, Any]) -> bytes:
    """Return a chat request after whose response the server closes the connection."""
    content = json.dumps(body).encode()
    head = (
        "POST /v1/chat/completions HTTP/1.1\r\n"
        f"host: {host}\r\n"
        f"authorization: Bearer {token}\r\n"
        "content-type: application/json\r\n"
        f"content-length: {len(content)}\r\n"
        "connection: close\r\n\r\n"
    )
    return head.encode() + content
