"""Dispatch of requests to agents, with retries."""

from __future__ import annotations

from cornellead.dispatch._agent_client import AgentClient
from cornellead.dispatch._agent_request import AgentRequest
from cornellead.dispatch._attempt_result import AgentRefusal
from cornellead.dispatch._attempt_result import AgentResponse
from cornellead.dispatch._attempt_result import AttemptFailure
from cornellead.dispatch._attempt_result import AttemptResult
from cornellead.dispatch._chat_dispatcher import ChatDispatcher
from cornellead.dispatch._chat_dispatcher import ChatJob
from cornellead.dispatch._chat_dispatcher import PlacedChat
from cornellead.dispatch._hint_sender import HintSender
from cornellead.dispatch._request_state import RequestState
from cornellead.dispatch._service_dispatcher import ServiceDispatcher
from cornellead.dispatch._service_job import ServiceJob
from cornellead.dispatch._service_job import ServiceResponse

__all__ = [
    "AgentClient",
    "AgentRefusal",
    "AgentRequest",
    "AgentResponse",
    "AttemptFailure",
    "AttemptResult",
    "ChatDispatcher",
    "ChatJob",
    "HintSender",
    "PlacedChat",
    "RequestState",
    "ServiceDispatcher",
    "ServiceJob",
    "ServiceResponse",
]
