"""Load generator that checks every response, and measurements of the fleet under load."""

from __future__ import annotations

from scripts.traffic._caller import Caller
from scripts.traffic._chat_load import ChatLoad
from scripts.traffic._chat_load import ChatSender
from scripts.traffic._chat_load import ChatShape
from scripts.traffic._control_rate import ControlRate
from scripts.traffic._conversation import Conversation
from scripts.traffic._fleet_monitor import FleetMonitor
from scripts.traffic._skew import LoadChanges
from scripts.traffic._skew import Skew
from scripts.traffic._skew import measure_skew
from scripts.traffic._tally import Tally

__all__ = [
    "Caller",
    "ChatLoad",
    "ChatSender",
    "ChatShape",
    "ControlRate",
    "Conversation",
    "FleetMonitor",
    "LoadChanges",
    "Skew",
    "Tally",
    "measure_skew",
]
