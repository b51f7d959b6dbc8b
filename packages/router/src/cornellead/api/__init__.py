"""HTTP API of the router for callers and operators."""

from __future__ import annotations

from cornellead.api._chat_handler import ChatHandler
from cornellead.api._encode_rejection import encode_rejection
from cornellead.api._http_app import HttpApp
from cornellead.api._request_runner import RequestRunner
from cornellead.api._request_tracker import RequestTracker
from cornellead.api._service_handler import ServiceHandler
from cornellead.api._status_collector import StatusCollector

__all__ = [
    "ChatHandler",
    "HttpApp",
    "RequestRunner",
    "RequestTracker",
    "ServiceHandler",
    "StatusCollector",
    "encode_rejection",
]
