"""Delivery of requests to agents."""

from __future__ import annotations

from cornellead.dispatch._agent_caller import AgentCaller
from cornellead.dispatch._agent_reply import AgentReply
from cornellead.dispatch._agent_reply import Answered
from cornellead.dispatch._agent_reply import Failed
from cornellead.dispatch._agent_reply import Refused
from cornellead.dispatch._agent_request import AgentRequest
from cornellead.dispatch._chat_dispatcher import ChatDispatcher
from cornellead.dispatch._chat_dispatcher import ChatJob
from cornellead.dispatch._chat_dispatcher import Placed
from cornellead.dispatch._hint_sender import HintSender
from cornellead.dispatch._progress import Progress
from cornellead.dispatch._service_dispatcher import ServiceDispatcher
from cornellead.dispatch._service_job import ServiceAnswer
from cornellead.dispatch._service_job import ServiceJob

__all__ = [
    "AgentCaller",
    "AgentReply",
    "AgentRequest",
    "Answered",
    "ChatDispatcher",
    "ChatJob",
    "Failed",
    "HintSender",
    "Placed",
    "Progress",
    "Refused",
    "ServiceAnswer",
    "ServiceDispatcher",
    "ServiceJob",
]
