"""Rejections by the HTTP listener of a router, in the format of its API."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cornellead.errors import ApiError
from cornellead.errors import invalid_request_error
from cornellead.errors import unavailable_error
from cornellead_core.serving import Rejection
from cornellead_core.serving import encode_json_response

if TYPE_CHECKING:
    from collections.abc import Sequence

_CODES = {
    Rejection.BAD_REQUEST: "invalid_request",
    Rejection.REQUEST_TIMEOUT: "request_timeout",
    Rejection.HEADERS_TOO_LARGE: "headers_too_large",
}


def encode_rejection(
    rejection: Rejection, message: str, headers: Sequence[tuple[bytes, bytes]]
) -> bytes:
    """Return the response for a request that the listener rejects.

    :param headers: Those of the request, empty if they are not complete.
    """
    error = _make_error(rejection, message)
    request_ids = [field for field in headers if field[0] == b"x-request-id"][:1]
    return encode_json_response(error.status, [*request_ids, *error.headers()], error.body())


def _make_error(rejection: Rejection, message: str) -> ApiError:
    if rejection is Rejection.NO_ROOM:
        return unavailable_error("no_room", message)
    return invalid_request_error(message, status=rejection, code=_CODES[rejection])
