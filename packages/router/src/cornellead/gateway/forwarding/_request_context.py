"""Request that is being served, with everything that its attempts share."""

from __future__ import annotations

from typing import NamedTuple

from cornellead.gateway.forwarding._admitted_request import AdmittedRequest
from cornellead.gateway.forwarding._event_splitter import EventSplitter
from cornellead.gateway.forwarding._request_trace import RequestTrace
from cornellead.gateway.forwarding._return_retry import ReturnRetry
from cornellead.gateway.ingress import ResponseWriter


class RequestContext(NamedTuple):
    """An admitted request with its record, its events so far, its caller and its reserved retry."""

    admitted: AdmittedRequest
    trace: RequestTrace
    events: EventSplitter
    out: ResponseWriter
    return_retry: ReturnRetry
