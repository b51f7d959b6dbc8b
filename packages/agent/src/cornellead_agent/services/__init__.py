"""Service calls: at most once under an idempotency key, or forwarded when they may be repeated."""

from __future__ import annotations

from cornellead_agent.services._service_handler import ServiceHandler
from cornellead_agent.services._service_request import ServiceRequest
from cornellead_agent.services._service_response import ServiceResponse

__all__ = ["ServiceHandler", "ServiceRequest", "ServiceResponse"]
