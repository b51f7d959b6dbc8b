"""Request path of the gateway: admission, choice of a server, attempts, and relay of responses."""

from __future__ import annotations

from cornellead.gateway.forwarding._admission import Admission
from cornellead.gateway.forwarding._admitted_request import AdmittedRequest
from cornellead.gateway.forwarding._attempt_sender import STALL_CHECK_INTERVAL_S
from cornellead.gateway.forwarding._attempt_sender import AttemptSender
from cornellead.gateway.forwarding._crash_watch import CrashWatch
from cornellead.gateway.forwarding._event_splitter import EventSplitter
from cornellead.gateway.forwarding._forwarder import SERVICE_FULL_RETRY_AFTER_S
from cornellead.gateway.forwarding._forwarder import Forwarder
from cornellead.gateway.forwarding._outcome import BrokenResponse
from cornellead.gateway.forwarding._outcome import DeliveredResponse
from cornellead.gateway.forwarding._place_waiter import PlaceWaiter
from cornellead.gateway.forwarding._request_sender import COLD_WAIT_SHARE
from cornellead.gateway.forwarding._response_relay import ResponseRelay
from cornellead.gateway.forwarding._server_picker import NoServer
from cornellead.gateway.forwarding._server_picker import ServerPicker

__all__ = [
    "COLD_WAIT_SHARE",
    "SERVICE_FULL_RETRY_AFTER_S",
    "STALL_CHECK_INTERVAL_S",
    "Admission",
    "AdmittedRequest",
    "AttemptSender",
    "BrokenResponse",
    "CrashWatch",
    "DeliveredResponse",
    "EventSplitter",
    "Forwarder",
    "NoServer",
    "PlaceWaiter",
    "ResponseRelay",
    "ServerPicker",
]
