"""HTTP API of the agent."""

from __future__ import annotations

from cornellead_agent.api._agent_metrics import AgentMetrics
from cornellead_agent.api._build_app import build_app
from cornellead_agent.api._cache_endpoint import CacheEndpoint
from cornellead_agent.api._chat_endpoint import ChatEndpoint
from cornellead_agent.api._clock import Clock
from cornellead_agent.api._clock import SystemClock
from cornellead_agent.api._encode_rejection import encode_rejection
from cornellead_agent.api._relay_counters import RelayCounters
from cornellead_agent.api._router_request_handler import RouterRequestHandler
from cornellead_agent.api._service_endpoint import ServiceEndpoint
from cornellead_agent.api._status_view import StatusView

__all__ = [
    "AgentMetrics",
    "CacheEndpoint",
    "ChatEndpoint",
    "Clock",
    "RelayCounters",
    "RouterRequestHandler",
    "ServiceEndpoint",
    "StatusView",
    "SystemClock",
    "build_app",
    "encode_rejection",
]
