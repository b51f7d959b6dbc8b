"""Responses of the agent's HTTP API."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from cornellead_core import headers
from cornellead_core.outcomes import Outcome
from cornellead_core.outcomes import RefusalReason

if TYPE_CHECKING:
    from collections.abc import Sequence
    from typing import Any
    from typing import TypeAlias

    from cornellead_core.outcomes import Refusal

    Headers: TypeAlias = Sequence[tuple[str, str]]
    Send: TypeAlias = Any

STATUS_BY_REASON = {
    RefusalReason.OVER_BOUND: 429,
    RefusalReason.COLD: 429,
    RefusalReason.UNAUTHORIZED: 401,
}
DEFAULT_REFUSAL_STATUS = 503


def encode_error(*, message: str, kind: str, code: str, outcome: Outcome) -> bytes:
    """Encode the JSON body of an error response in the format of the OpenAI API."""
    error = {"message": message, "type": kind, "code": code, "outcome": outcome.value}
    return msgspec.json.encode({"error": error})


async def send_response(send: Send, status: int, fields: Headers, body: bytes) -> None:
    """Send a complete response with a content length."""
    encoded = [(name.encode(), value.encode("latin-1")) for name, value in fields]
    encoded.append((b"content-length", b"%d" % len(body)))
    await send({"type": "http.response.start", "status": status, "headers": encoded})
    await send({"type": "http.response.body", "body": body})


async def send_error(
    send: Send, status: int, fields: Headers, *, message: str, code: str, outcome: Outcome
) -> None:
    """Send an error that is not a refusal by admission control."""
    kind = "invalid_request_error" if status < 500 else "server_error"
    body = encode_error(message=message, kind=kind, code=code, outcome=outcome)
    await send_response(send, status, [*fields, ("content-type", "application/json")], body)


async def send_refusal(send: Send, refusal: Refusal, fields: Headers) -> None:
    """Send a refusal by admission control; its header guarantees that the request did not run."""
    status = STATUS_BY_REASON.get(refusal.reason, DEFAULT_REFUSAL_STATUS)
    extra = [(headers.REFUSAL, refusal.reason.value), ("content-type", "application/json")]
    if refusal.hint:
        extra.append((headers.HINT, refusal.hint))
    if refusal.retry_after_s is not None:
        extra.append(("retry-after", f"{refusal.retry_after_s:g}"))
    body = encode_error(
        message=refusal.message,
        kind="overloaded" if status == 429 else "unavailable",
        code=refusal.reason.value,
        outcome=Outcome.NOT_RUN,
    )
    await send_response(send, status, [*fields, *extra], body)
