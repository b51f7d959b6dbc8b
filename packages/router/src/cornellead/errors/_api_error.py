"""Error in the form of the OpenAI API, with the outcome of the request."""

from __future__ import annotations

import math
from typing import NamedTuple

import msgspec

from cornellead_core.outcomes import Outcome
from cornellead_core.outcomes import Refusal
from cornellead_core.outcomes import RefusalReason

_TYPES = {
    400: "invalid_request_error",
    401: "authentication_error",
    403: "permission_error",
    404: "invalid_request_error",
    405: "invalid_request_error",
    408: "timeout_error",
    409: "conflict_error",
    413: "invalid_request_error",
    422: "invalid_request_error",
    429: "rate_limit_error",
    504: "timeout_error",
}


_REFUSALS = {
    RefusalReason.LOG_UNAVAILABLE: "calls cannot be recorded now; retry with the same key",
    RefusalReason.DEADLINE: "the deadline passed before the call was sent; allow more time",
    RefusalReason.KEY_CONFLICT: "the idempotency key belongs to another request; use a new key",
    RefusalReason.KEY_EXPIRED: "the idempotency key is too old; use a new key",
}


class ApiError(NamedTuple):
    """What went wrong, and whether the request may have taken effect."""

    status: int
    code: str
    message: str
    outcome: Outcome = Outcome.NOT_RUN
    retry_after_s: float | None = None

    def body(self) -> bytes:
        """Return the JSON body.

        >>> ApiError(401, "invalid_api_key", "no").body()[:44]
        b'{"error":{"message":"no","type":"authenticat'
        """
        error = {
            "message": self.message,
            "type": _TYPES.get(self.status, "server_error"),
            "code": self.code,
            "outcome": str(self.outcome),
        }
        return msgspec.json.encode({"error": error})

    def headers(self) -> list[tuple[bytes, bytes]]:
        """Return the headers that belong to the error."""
        if self.retry_after_s is None:
            return []
        return [(b"retry-after", str(max(1, math.ceil(self.retry_after_s))).encode())]

    def event(self) -> bytes:
        """Return the error as a server-sent event."""
        return b"event: error\ndata: " + self.body() + b"\n\n"


def invalid(message: str, *, status: int = 400, code: str = "invalid_request") -> ApiError:
    """Return the error for a request that can never succeed as it is."""
    return ApiError(status, code, message)


def busy(code: str, message: str, *, retry_after_s: float = 1.0) -> ApiError:
    """Return the error for a request that found no capacity and did not run."""
    return ApiError(503, code, message, Outcome.NOT_RUN, retry_after_s)


def refused(refusal: Refusal, status: int) -> ApiError:
    """Return the error for a refusal of a server that no other server would lift."""
    message = _REFUSALS.get(refusal.reason, refusal.message)
    return ApiError(status, refusal.reason, message, Outcome.NOT_RUN, refusal.retry_after_s)


def lost(message: str, *, may_have_run: bool) -> ApiError:
    """Return the error for a request whose response did not arrive."""
    outcome = Outcome.UNKNOWN if may_have_run else Outcome.NOT_RUN
    retry_after_s = None if may_have_run else 1.0
    return ApiError(502, "upstream_failed", message, outcome, retry_after_s)


def too_late(*, may_have_run: bool) -> ApiError:
    """Return the error for a request whose deadline passed."""
    outcome = Outcome.UNKNOWN if may_have_run else Outcome.NOT_RUN
    return ApiError(504, "deadline", "the deadline passed; allow more time", outcome)
