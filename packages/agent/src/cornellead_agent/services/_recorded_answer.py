"""Answers of the server as they are recorded and replayed."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cornellead_agent.services import _answers
from cornellead_agent.services._service_response import ServiceResponse
from cornellead_core.claims import DoneRecord

if TYPE_CHECKING:
    from cornellead_agent.services._call import Call
    from cornellead_core.claims import ClaimsRecord

MAX_RECORDED_BYTES = 64 << 10
"""Longer answers are not recorded; a retry learns that the call ran."""


def record_answer(call: Call, response: ServiceResponse | None) -> DoneRecord:
    """Make the record of an answer.

    :param response: ``None`` when the answer was too large to be passed on.
    """
    omitted = response is None or len(response.body) > MAX_RECORDED_BYTES
    return DoneRecord(
        key=call.key,
        request=call.digest,
        call=call.call_id,
        status=200 if response is None else response.status,
        content_type="" if response is None else dict(response.headers).get("content-type", ""),
        body=b"" if response is None or omitted else response.body,
        omitted=omitted,
    )


def replay_answer(call: Call, record: ClaimsRecord | None) -> ServiceResponse:
    """Answer a call from the record of the first answer.

    :param record: Record at the offset that the ledger names, ``None`` if it cannot be read.
    """
    if not isinstance(record, DoneRecord) or record.key != call.key:
        return _answers.replay_unavailable()
    if record.omitted:
        return _answers.not_recorded()
    fields = [("content-type", record.content_type), (_answers.REPLAYED, "true")]
    return ServiceResponse(record.status, fields, record.body)
