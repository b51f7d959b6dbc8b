"""Bodies of callers that have arrived at their time-out, while the event loop was busy."""

from __future__ import annotations

import asyncio
import socket
from typing import Any
from typing import cast

from tests.turns import arrive_while_busy

from cornellead.api._caller_connection import CallerConnection

TIMEOUT_S = 0.3


async def test_body_that_arrives_before_its_timeout_is_read() -> None:
    """Guards against status 408 for a body that came in time (issue 38)."""
    ours, peer = socket.socketpair()
    reader, writer = await asyncio.open_connection(sock=ours)

    async def receive() -> Any:
        body = await reader.readexactly(2)
        return {"type": "http.request", "body": body, "more_body": False}

    async def send(message: Any) -> None:
        del message

    scope = cast("Any", {"type": "http", "headers": []})
    conn = CallerConnection(scope=scope, receive=receive, send=send)
    arrive_while_busy(lambda: peer.send(b"{}"), due_s=TIMEOUT_S)
    body = await conn.read_body(limit=100, timeout_s=TIMEOUT_S)
    writer.close()
    peer.close()
    assert body == b"{}"
