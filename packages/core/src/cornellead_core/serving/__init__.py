"""HTTP/1.1 connections of the own interface: parsing, limits on callers, and their counters."""

from __future__ import annotations

from cornellead_core.serving._http_server import HttpServer
from cornellead_core.serving._http_serving import HttpServing
from cornellead_core.serving._paced_http_protocol import PacedHttpProtocol
from cornellead_core.serving._rejection import Rejection
from cornellead_core.serving._rejection import RejectionEncoder
from cornellead_core.serving._rejection import encode_json_response

__all__ = [
    "HttpServer",
    "HttpServing",
    "PacedHttpProtocol",
    "Rejection",
    "RejectionEncoder",
    "encode_json_response",
]
