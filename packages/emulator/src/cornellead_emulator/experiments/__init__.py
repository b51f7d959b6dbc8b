"""Named loads, the runs that play them, and their reports."""

from __future__ import annotations

from cornellead_emulator.experiments._loads import LOADS
from cornellead_emulator.experiments._loads import Load
from cornellead_emulator.experiments._plots import draw_plots
from cornellead_emulator.experiments._report import write_table
from cornellead_emulator.experiments._run import Result
from cornellead_emulator.experiments._run import run_load

__all__ = ["LOADS", "Load", "Result", "draw_plots", "run_load", "write_table"]
