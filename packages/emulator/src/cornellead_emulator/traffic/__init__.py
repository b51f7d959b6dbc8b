"""Generation of caller requests: arrivals, chats and request classes."""

from __future__ import annotations

from cornellead_emulator.traffic._arrivals import Arrivals
from cornellead_emulator.traffic._arrivals import HotChat
from cornellead_emulator.traffic._chat_request import ChatRequest
from cornellead_emulator.traffic._contended_classes import CONTENDED_CLASSES
from cornellead_emulator.traffic._request_class import USERS_CLASSES
from cornellead_emulator.traffic._request_class import RequestClass

__all__ = [
    "CONTENDED_CLASSES",
    "USERS_CLASSES",
    "Arrivals",
    "ChatRequest",
    "HotChat",
    "RequestClass",
]
