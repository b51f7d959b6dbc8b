"""Reading of request bodies."""

from __future__ import annotations

from typing import Any

import pytest
from returns.result import Success

from cornellead_agent.api._body import MAX_BODY_BYTES
from cornellead_agent.api._body import read_body

HALF = b"x" * (MAX_BODY_BYTES // 2)


def part(body: bytes, *, more: bool) -> dict[str, Any]:
    """Return one message of a request body."""
    return {"type": "http.request", "body": body, "more_body": more}


async def read(*messages: dict[str, Any]) -> tuple[int, int]:
    """Read a body and return its status and length."""
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
        ([part(HALF, more=True), part(HALF, more=False)], (200, MAX_BODY_BYTES)),
        ([part(HALF, more=True), part(HALF + b"x", more=True)], (413, 0)),
        ([part(b"{", more=True), {"type": "http.disconnect"}], (400, 0)),
    ],
)
async def test_bodies_are_bounded_and_whole(
    messages: list[dict[str, Any]], expected: tuple[int, int]
) -> None:
    """Guards against memory used by large bodies and against work for half a request."""
    assert await read(*messages) == expected
