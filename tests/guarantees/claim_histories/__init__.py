"""Randomized, reproducible simulations of agents that share one claims log, in virtual time."""

from __future__ import annotations

from tests.guarantees.claim_histories._checker import find_violations
from tests.guarantees.claim_histories._checker import outcome_of
from tests.guarantees.claim_histories._fake_log import FakeLog
from tests.guarantees.claim_histories._fake_log import FakeLogClient
from tests.guarantees.claim_histories._fake_log import LogFaults
from tests.guarantees.claim_histories._fake_service import Effect
from tests.guarantees.claim_histories._fake_service import FakeService
from tests.guarantees.claim_histories._fake_service import ServiceFaults
from tests.guarantees.claim_histories._history import History
from tests.guarantees.claim_histories._history import run_history
from tests.guarantees.claim_histories._process import Process
from tests.guarantees.claim_histories._virtual_loop import run_in_virtual_time
from tests.guarantees.claim_histories._world import Attempt
from tests.guarantees.claim_histories._world import World

__all__ = [
    "Attempt",
    "Effect",
    "FakeLog",
    "FakeLogClient",
    "FakeService",
    "History",
    "LogFaults",
    "Process",
    "ServiceFaults",
    "World",
    "find_violations",
    "outcome_of",
    "run_history",
    "run_in_virtual_time",
]
