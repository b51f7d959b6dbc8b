"""Runs the stand-in platform as a process."""

from __future__ import annotations

import sys

from cornellead_standins.platform import PlatformSettings
from cornellead_standins.platform import build_app
from cornellead_standins.serving import read_settings
from cornellead_standins.serving import run_app

if __name__ == "__main__":
    settings = read_settings(sys.argv, PlatformSettings)
    run_app(build_app(settings), listen=settings.listen)
