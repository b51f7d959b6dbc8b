"""Reading of request bodies."""

from __future__ import annotations

import asyncio
from typing import Any
from typing import NamedTuple

from returns.result import Failure
from returns.result import Result
from returns.result import Success

MAX_BODY_BYTES = 4 << 20
BODY_TIMEOUT_S = 10.0


class BodyError(NamedTuple):
    """Status and message for a body that cannot be used."""

    status: int
    message: str


async def read_body(receive: Any) -> Result[bytes, BodyError]:
    """Read a request body of at most `MAX_BODY_BYTES` within `BODY_TIMEOUT_S`."""
    parts: list[bytes] = []
    size = 0
    try:
        async with asyncio.timeout(BODY_TIMEOUT_S):
            while True:
                message = await receive()
                if message["type"] == "http.disconnect":
                    return Failure(BodyError(400, "the request body ended early"))
                part = message.get("body", b"")
                size += len(part)
                if size > MAX_BODY_BYTES:
                    return Failure(BodyError(413, f"send at most {MAX_BODY_BYTES} bytes"))
                parts.append(part)
                if not message.get("more_body", False):
                    return Success(b"".join(parts))
    except TimeoutError:
        return Failure(BodyError(408, f"send the body within {BODY_TIMEOUT_S:g} s"))
