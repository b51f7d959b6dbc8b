"""Size limit and completeness of request bodies."""

from __future__ import annotations

import asyncio
import socket
from typing import Any

import pytest
from returns.result import Success
from tests.turns import arrive_while_busy

from cornellead_agent.api import _body
from cornellead_agent.api._body import MAX_BODY_BYTES
from cornellead_agent.api._body import read_body

HALF = b"x" * (MAX_BODY_BYTES // 2)


def body_message(body: bytes, *, more: bool) -> dict[str, Any]:
    """Return an ASGI message with one part of a request body."""
    return {"type": "http.request", "body": body, "more_body": more}


async def read(*messages: dict[str, Any]) -> tuple[int, int]:
    """Read a body from ASGI messages; return the HTTP status and the length of the body."""
    pending = list(messages)

    async def receive() -> dict[str, Any]:
        return pending.pop(0)

    result = await read_body(receive)
    if isinstance(result, Success):
        return 200, len(result.unwrap())
    return result.failure().status, 0


@pytest.mark.parametrize(
    ("messages", "expected"),
    [
        ([body_message(HALF, more=True), body_message(HALF, more=False)], (200, MAX_BODY_BYTES)),
        ([body_message(HALF, more=True), body_message(HALF + b"x", more=True)], (413, 0)),
        ([body_message(b"{", more=True), {"type": "http.disconnect"}], (400, 0)),
    ],
)
async def test_oversized_and_incomplete_bodies_are_rejected(
    messages: list[dict[str, Any]], expected: tuple[int, int]
) -> None:
    """Guards against unbounded memory for large bodies and against running a partial request."""
    assert await read(*messages) == expected


async def test_body_that_arrives_before_its_timeout_is_read(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against status 408 for a body that came in time (issue 38)."""
    monkeypatch.setattr(_body, "BODY_TIMEOUT_S", 0.3)
    ours, peer = socket.socketpair()
    reader, writer = await asyncio.open_connection(sock=ours)

    async def receive() -> dict[str, Any]:
        return body_message(await reader.readexactly(2), more=False)

    arrive_while_busy(lambda: peer.send(b"{}"), due_s=0.3)
    result = await read_body(receive)
    writer.close()
    peer.close()
    assert isinstance(result, Success) and result.unwrap() == b"{}"
