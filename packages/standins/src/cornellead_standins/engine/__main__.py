"""Runs the stand-in engine as a process."""

from __future__ import annotations

import sys

from cornellead_standins.engine import EngineSettings
from cornellead_standins.engine import build_app
from cornellead_standins.serving import read_settings
from cornellead_standins.serving import run_app

if __name__ == "__main__":
    settings = read_settings(sys.argv, EngineSettings)
    run_app(build_app(settings), listen=settings.listen)
