"""Reads request bodies with a size limit and a timeout."""

from __future__ import annotations

from typing import Any
from typing import NamedTuple

from returns.result import Failure
from returns.result import Result
from returns.result import Success

from cornellead_core.pacing import ArrivalTimeout

MAX_BODY_BYTES = 4 << 20
BODY_TIMEOUT_S = 10.0


class BodyError(NamedTuple):
    """HTTP status and message for a body that is too large, too slow or incomplete."""

    status: int
    message: str


async def read_body(receive: Any) -> Result[bytes, BodyError]:
    """Read a whole request body of at most `MAX_BODY_BYTES` within `BODY_TIMEOUT_S`.

    :param receive: ASGI receive callable.
    """
    chunks: list[bytes] = []
    size = 0
    try:
        async with ArrivalTimeout(delay_s=BODY_TIMEOUT_S):
            while True:
                message = await receive()
                if message["type"] == "http.disconnect":
                    return Failure(BodyError(400, "the request body ended early"))
                chunk = message.get("body", b"")
                size += len(chunk)
                if size > MAX_BODY_BYTES:
                    return Failure(BodyError(413, f"send at most {MAX_BODY_BYTES} bytes"))
                chunks.append(chunk)
                if not message.get("more_body", False):
                    return Success(b"".join(chunks))
    except TimeoutError:
        return Failure(BodyError(408, f"send the body within {BODY_TIMEOUT_S:g} s"))
