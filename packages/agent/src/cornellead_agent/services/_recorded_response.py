"""Conversion of the server's responses to done records and back."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cornellead_agent.services import _error_responses
from cornellead_agent.services._service_response import ServiceResponse
from cornellead_core.claims import DoneRecord

if TYPE_CHECKING:
    from cornellead_agent.services._call import Call
    from cornellead_core.claims import ClaimsRecord

MAX_RECORDED_BYTES = 64 << 10
"""Larger responses are not recorded; a retry receives an error which states that the call ran."""


def make_done_record(call: Call, response: ServiceResponse | None) -> DoneRecord:
    """Return the done record of a call.

    :param response: Response of the server, or ``None`` if it was too large to forward.
    """
    omitted = response is None or len(response.body) > MAX_RECORDED_BYTES
    return DoneRecord(
        key=call.key,
        request=call.request_digest,
        call=call.call_id,
        status=200 if response is None else response.status,
        content_type="" if response is None else dict(response.headers).get("content-type", ""),
        body=b"" if response is None or omitted else response.body,
        omitted=omitted,
    )


def replay_response(call: Call, record: ClaimsRecord | None) -> ServiceResponse:
    """Return the recorded response of an earlier call with the same key.

    :param record: Record at the done offset in the ledger, or ``None`` if it cannot be read.
    """
    if not isinstance(record, DoneRecord) or record.key != call.key:
        return _error_responses.replay_unavailable()
    if record.omitted:
        return _error_responses.response_not_recorded()
    fields = [("content-type", record.content_type), (_error_responses.REPLAYED_HEADER, "true")]
    return ServiceResponse(record.status, fields, record.body)
