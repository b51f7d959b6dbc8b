"""Named load scenarios, their simulation runs and reports."""

from __future__ import annotations

from cornellead_emulator.experiments._loads import LOADS
from cornellead_emulator.experiments._loads import LoadScenario
from cornellead_emulator.experiments._plots import draw_plots
from cornellead_emulator.experiments._report import write_table
from cornellead_emulator.experiments._run import Result
from cornellead_emulator.experiments._run import run_load

__all__ = ["LOADS", "LoadScenario", "Result", "draw_plots", "run_load", "write_table"]
