"""Service calls: executed at most once per idempotency key, or forwarded if idempotent."""

from __future__ import annotations

from cornellead_agent.services._service_handler import ServiceHandler
from cornellead_agent.services._service_request import ServiceRequest
from cornellead_agent.services._service_response import ServiceResponse

__all__ = ["ServiceHandler", "ServiceRequest", "ServiceResponse"]
