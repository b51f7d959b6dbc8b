"""Errors in the format of the OpenAI API, extended by the outcome of the request."""

from __future__ import annotations

import math
from typing import NamedTuple

import msgspec

from cornellead_core.outcomes import Outcome
from cornellead_core.outcomes import Refusal
from cornellead_core.outcomes import RefusalReason

_TYPE_BY_STATUS = {
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


_MESSAGE_BY_REASON = {
    RefusalReason.LOG_UNAVAILABLE: "calls cannot be recorded now; retry with the same key",
    RefusalReason.DEADLINE: "the deadline passed before the call was sent; allow more time",
    RefusalReason.KEY_CONFLICT: "the idempotency key belongs to another request; use a new key",
    RefusalReason.KEY_EXPIRED: "the idempotency key is too old; use a new key",
}


class ApiError(NamedTuple):
    """Error response; its outcome states whether the request may have taken effect."""

    status: int
    code: str
    message: str
    outcome: Outcome = Outcome.NOT_RUN
    retry_after_s: float | None = None

    def body(self) -> bytes:
        """Return the JSON body of the response.

        >>> ApiError(401, "invalid_api_key", "no").body()[:44]
        b'{"error":{"message":"no","type":"authenticat'
        """
        error = {
            "message": self.message,
            "type": _TYPE_BY_STATUS.get(self.status, "server_error"),
            "code": self.code,
            "outcome": str(self.outcome),
        }
        return msgspec.json.encode({"error": error})

    def headers(self) -> list[tuple[bytes, bytes]]:
        """Return the ``retry-after`` header in whole seconds, if the error has one."""
        if self.retry_after_s is None:
            return []
        return [(b"retry-after", str(max(1, math.ceil(self.retry_after_s))).encode())]

    def event(self) -> bytes:
        """Return the error as a server-sent event, for streams that have already started."""
        return b"event: error\ndata: " + self.body() + b"\n\n"


def invalid_request_error(
    message: str, *, status: int = 400, code: str = "invalid_request"
) -> ApiError:
    """Return the error for a request that must be changed before it can succeed."""
    return ApiError(status, code, message)


def unavailable_error(code: str, message: str, *, retry_after_s: float = 1.0) -> ApiError:
    """Return the error for a request that did not run because of missing capacity."""
    return ApiError(503, code, message, Outcome.NOT_RUN, retry_after_s)


def refusal_error(refusal: Refusal, status: int) -> ApiError:
    """Return the error for a refusal that other servers would repeat."""
    message = _MESSAGE_BY_REASON.get(refusal.reason, refusal.message)
    return ApiError(status, refusal.reason, message, Outcome.NOT_RUN, refusal.retry_after_s)


def upstream_error(message: str, *, may_have_run: bool) -> ApiError:
    """Return the error for a request without a complete response from a server."""
    outcome = Outcome.UNKNOWN if may_have_run else Outcome.NOT_RUN
    retry_after_s = None if may_have_run else 1.0
    return ApiError(502, "upstream_failed", message, outcome, retry_after_s)


def deadline_error(*, may_have_run: bool) -> ApiError:
    """Return the error for a request whose deadline passed."""
    outcome = Outcome.UNKNOWN if may_have_run else Outcome.NOT_RUN
    return ApiError(504, "deadline", "the deadline passed; allow more time", outcome)
