"""Control protocol between the processes of the fleet: messages, client and server."""

from __future__ import annotations

from cornellead_core.wire._codec import decode_message
from cornellead_core.wire._codec import encode_message
from cornellead_core.wire._control_client import ControlClient
from cornellead_core.wire._control_server import ControlServer
from cornellead_core.wire._messages import UNKNOWN_AGE_MS
from cornellead_core.wire._messages import Ack
from cornellead_core.wire._messages import CacheHint
from cornellead_core.wire._messages import ConfigOffset
from cornellead_core.wire._messages import ConfigRecords
from cornellead_core.wire._messages import ConfigSnapshot
from cornellead_core.wire._messages import ConfigStateRequest
from cornellead_core.wire._messages import HostChanges
from cornellead_core.wire._messages import HostDigest
from cornellead_core.wire._messages import HostSnapshot
from cornellead_core.wire._messages import LoadExchange
from cornellead_core.wire._messages import LoadReportMessage
from cornellead_core.wire._messages import Message
from cornellead_core.wire._messages import ShareLeases
from cornellead_core.wire._messages import ShareRequest
from cornellead_core.wire._messages import TeamDemand
from cornellead_core.wire._messages import TeamShare
from cornellead_core.wire._traffic import Traffic

__all__ = [
    "UNKNOWN_AGE_MS",
    "Ack",
    "CacheHint",
    "ConfigOffset",
    "ConfigRecords",
    "ConfigSnapshot",
    "ConfigStateRequest",
    "ControlClient",
    "ControlServer",
    "HostChanges",
    "HostDigest",
    "HostSnapshot",
    "LoadExchange",
    "LoadReportMessage",
    "Message",
    "ShareLeases",
    "ShareRequest",
    "TeamDemand",
    "TeamShare",
    "Traffic",
    "decode_message",
    "encode_message",
]
