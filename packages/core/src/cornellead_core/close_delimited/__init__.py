"""Responses that have neither a length nor chunks and end with their connection."""

from __future__ import annotations

from cornellead_core.close_delimited._listener_check import CHECK_TIMEOUT_S
from cornellead_core.close_delimited._listener_check import CLOSE_PROOF_S
from cornellead_core.close_delimited._listener_check import MAX_SHARE_OF_TIME_LEFT
from cornellead_core.close_delimited._listener_check import ListenerState
from cornellead_core.close_delimited._listener_check import Probe
from cornellead_core.close_delimited._listener_check import check_listener
from cornellead_core.close_delimited._probe_connection import ProbeConnection
from cornellead_core.close_delimited._probe_connection import open_probe
from cornellead_core.close_delimited._response_end import ResponseEnd
from cornellead_core.close_delimited._response_end import judge_end
from cornellead_core.close_delimited._server_end_check import ServerEndCheck

__all__ = [
    "CHECK_TIMEOUT_S",
    "CLOSE_PROOF_S",
    "MAX_SHARE_OF_TIME_LEFT",
    "ListenerState",
    "Probe",
    "ProbeConnection",
    "ResponseEnd",
    "ServerEndCheck",
    "check_listener",
    "judge_end",
    "open_probe",
]
