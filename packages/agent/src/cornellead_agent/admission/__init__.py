"""Admission control for the server beside the agent."""

from __future__ import annotations

from cornellead_agent.admission._admission_controller import AdmissionController
from cornellead_agent.admission._cold_limit import ColdLimit
from cornellead_agent.admission._cold_limit import ServerSample
from cornellead_agent.admission._decision import AdmissionRequest
from cornellead_agent.admission._decision import AdmissionView
from cornellead_agent.admission._decision import bound_limit
from cornellead_agent.admission._decision import decide_admission

__all__ = [
    "AdmissionController",
    "AdmissionRequest",
    "AdmissionView",
    "ColdLimit",
    "ServerSample",
    "bound_limit",
    "decide_admission",
]
