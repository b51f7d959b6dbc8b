"""Callers that send chats and service calls and check every answer."""

from __future__ import annotations

from scripts.traffic._caller import Caller
from scripts.traffic._control_rate import ControlRate
from scripts.traffic._conversation import Conversation
from scripts.traffic._skew import Skew
from scripts.traffic._skew import measure_skew
from scripts.traffic._tally import Tally

__all__ = ["Caller", "ControlRate", "Conversation", "Skew", "Tally", "measure_skew"]
