"""Runs the agent with ``python -m cornellead_agent.cli``."""

from __future__ import annotations

import sys

from cornellead_agent.cli._main import main

if __name__ == "__main__":
    sys.exit(main())
