"""Selection of a server for each request and delivery of the request to its agent."""

from __future__ import annotations

from cornellead.dispatch._agent_caller import AgentCaller
from cornellead.dispatch._agent_request import AgentRequest
from cornellead.dispatch._attempt_result import AgentRefusal
from cornellead.dispatch._attempt_result import AgentResponse
from cornellead.dispatch._attempt_result import AttemptFailure
from cornellead.dispatch._attempt_result import AttemptResult
from cornellead.dispatch._chat_dispatcher import ChatDispatcher
from cornellead.dispatch._chat_dispatcher import ChatJob
from cornellead.dispatch._chat_dispatcher import Placed
from cornellead.dispatch._hint_sender import HintSender
from cornellead.dispatch._progress import Progress
from cornellead.dispatch._service_dispatcher import ServiceDispatcher
from cornellead.dispatch._service_job import ServiceJob
from cornellead.dispatch._service_job import ServiceResponse

__all__ = [
    "AgentCaller",
    "AgentRefusal",
    "AgentRequest",
    "AgentResponse",
    "AttemptFailure",
    "AttemptResult",
    "ChatDispatcher",
    "ChatJob",
    "HintSender",
    "Placed",
    "Progress",
    "ServiceDispatcher",
    "ServiceJob",
    "ServiceResponse",
]
