"""Connections of callers: request parsing, limits, responses, and phases of a graceful shutdown."""

from __future__ import annotations

from cornellead.gateway.ingress._caller_connection import FIRST_REFUSAL_STATUS
from cornellead.gateway.ingress._caller_connection import CallerConnection
from cornellead.gateway.ingress._caller_listener import CallerListener
from cornellead.gateway.ingress._caller_request import CallerRequest
from cornellead.gateway.ingress._request_handler import RequestHandler
from cornellead.gateway.ingress._request_parser import RejectionStatus
from cornellead.gateway.ingress._request_parser import RequestParser
from cornellead.gateway.ingress._response_writer import ResponseWriter
from cornellead.gateway.ingress._response_writer import encode_head
from cornellead.gateway.ingress._serving_phase import ServingPhase
from cornellead.gateway.ingress._serving_state import ServingState

__all__ = [
    "FIRST_REFUSAL_STATUS",
    "CallerConnection",
    "CallerListener",
    "CallerRequest",
    "RejectionStatus",
    "RequestHandler",
    "RequestParser",
    "ResponseWriter",
    "ServingPhase",
    "ServingState",
    "encode_head",
]
