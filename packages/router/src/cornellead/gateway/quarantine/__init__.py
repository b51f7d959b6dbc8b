"""Quarantine of prompt parts that crash the servers which begin to answer them. It does no I/O."""

from __future__ import annotations

from cornellead.gateway.quarantine._crash_report import CrashReport
from cornellead.gateway.quarantine._crash_report import part_key
from cornellead.gateway.quarantine._culprits import Culprit
from cornellead.gateway.quarantine._culprits import count_crashes
from cornellead.gateway.quarantine._culprits import find_culprits
from cornellead.gateway.quarantine._evidence import Evidence
from cornellead.gateway.quarantine._prompt_guard import PromptGuard
from cornellead.gateway.quarantine._quarantined_part import QuarantinedPart

__all__ = [
    "CrashReport",
    "Culprit",
    "Evidence",
    "PromptGuard",
    "QuarantinedPart",
    "count_crashes",
    "find_culprits",
    "part_key",
]
