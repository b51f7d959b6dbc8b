"""Rejections by the HTTP listener of the agent, in the format of its API."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cornellead_agent.api._responses import encode_error
from cornellead_core import headers as header_names
from cornellead_core.outcomes import Outcome
from cornellead_core.outcomes import RefusalReason
from cornellead_core.serving import Rejection
from cornellead_core.serving import encode_json_response

if TYPE_CHECKING:
    from collections.abc import Sequence


def encode_rejection(
    rejection: Rejection, message: str, headers: Sequence[tuple[bytes, bytes]]
) -> bytes:
    """Return the response for a request that the listener rejects.

    :param headers: Those of the request, empty if they are not complete.
    """
    request = header_names.REQUEST.encode()
    fields = [field for field in headers if field[0] == request][:1]
    code = "bad_request"
    if rejection is Rejection.NO_ROOM:
        code = RefusalReason.NO_ROOM.value
        fields += [(header_names.REFUSAL.encode(), code.encode()), (b"retry-after", b"1")]
    kind = "invalid_request_error" if rejection < 500 else "unavailable"
    body = encode_error(message=message, kind=kind, code=code, outcome=Outcome.NOT_RUN)
    return encode_json_response(rejection, fields, body)
