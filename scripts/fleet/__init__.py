"""Runs a fleet as separate processes for the demo, the measurements and the process tests."""

from __future__ import annotations

from scripts.fleet._examples import read_example_objects
from scripts.fleet._examples import team_names
from scripts.fleet._examples import team_token
from scripts.fleet._fleet import BUILD_DIRECTORY
from scripts.fleet._fleet import STATE_DIRECTORY
from scripts.fleet._fleet import Fleet
from scripts.fleet._fleet import FleetError
from scripts.fleet._managed_process import ManagedProcess
from scripts.fleet._managed_process import ProcessUsage
from scripts.fleet._managed_process import interrupt_on_sigterm
from scripts.fleet._managed_process import kill_process
from scripts.fleet._plan import FleetPlan
from scripts.fleet._plan import RouterPlan
from scripts.fleet._plan import ServerPlan
from scripts.fleet._plan import plan_imigongo
from scripts.fleet._plan import plan_sabarmati
from scripts.fleet._port_block import PortBlock

__all__ = [
    "BUILD_DIRECTORY",
    "STATE_DIRECTORY",
    "Fleet",
    "FleetError",
    "FleetPlan",
    "ManagedProcess",
    "PortBlock",
    "ProcessUsage",
    "RouterPlan",
    "ServerPlan",
    "interrupt_on_sigterm",
    "kill_process",
    "plan_imigongo",
    "plan_sabarmati",
    "read_example_objects",
    "team_names",
    "team_token",
]
