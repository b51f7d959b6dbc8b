"""HTTP API for callers and operators."""

from __future__ import annotations

from cornellead.api._chat_handler import ChatHandler
from cornellead.api._http_app import HttpApp
from cornellead.api._in_progress import InProgress
from cornellead.api._request_runner import RequestRunner
from cornellead.api._service_handler import ServiceHandler
from cornellead.api._status import Status

__all__ = ["ChatHandler", "HttpApp", "InProgress", "RequestRunner", "ServiceHandler", "Status"]
