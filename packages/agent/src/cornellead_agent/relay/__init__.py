"""Relays requests to the agent's server and reads its responses."""

from __future__ import annotations

from cornellead_agent.relay._active_connections import ActiveConnections
from cornellead_agent.relay._engine_client import MAX_RESPONSE_BYTES
from cornellead_agent.relay._engine_client import CompleteResponse
from cornellead_agent.relay._engine_client import EngineClient
from cornellead_agent.relay._engine_client import EngineRequestError
from cornellead_agent.relay._engine_connection import EngineConnection
from cornellead_agent.relay._engine_connection import ResponseHead
from cornellead_agent.relay._event_assembler import EventAssembler
from cornellead_agent.relay._upstream import ChatRequest
from cornellead_agent.relay._upstream import Upstream

__all__ = [
    "MAX_RESPONSE_BYTES",
    "ActiveConnections",
    "ChatRequest",
    "CompleteResponse",
    "EngineClient",
    "EngineConnection",
    "EngineRequestError",
    "EventAssembler",
    "ResponseHead",
    "Upstream",
]
