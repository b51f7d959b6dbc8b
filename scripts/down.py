"""Stops the fleet that ``scripts.up`` started: ``python -m scripts.down``."""

from __future__ import annotations

import json
import sys

from scripts.fleet import STATE_DIRECTORY
from scripts.fleet import kill_process


def main() -> int:
    """Kill every process listed in the state file; returns the exit status."""
    path = STATE_DIRECTORY / "state.json"
    if not path.exists():
        sys.stderr.write("no fleet is running; start one with: make up\n")
        return 1
    state = json.loads(path.read_text())
    stopped = [kill_process(pid, state["directory"]) for pid in state["pids"].values()]
    path.unlink()
    sys.stdout.write(f"stopped {sum(stopped)} processes\n")
    return 0


if __name__ == "__main__":
    sys.exit(main())
