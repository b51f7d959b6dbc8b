"""Starts a fleet and leaves it running: ``python -m scripts.up``."""

from __future__ import annotations

import argparse
import sys

from scripts.fleet import STATE_DIRECTORY
from scripts.fleet import Fleet
from scripts.fleet import interrupt_on_sigterm
from scripts.fleet import plan_imigongo
from scripts.fleet import plan_sabarmati

PLANS = {"imigongo": plan_imigongo, "sabarmati": plan_sabarmati}


def main() -> int:
    """Start the fleet of one user and leave it running; returns the exit status."""
    interrupt_on_sigterm()
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--user", choices=sorted(PLANS), default="imigongo")
    user = parser.parse_args().user
    if (STATE_DIRECTORY / "state.json").exists():
        sys.stderr.write("a fleet is already running; stop it with: make down\n")
        return 1
    fleet = Fleet(plan=PLANS[user](), directory=STATE_DIRECTORY)
    try:
        fleet.start()
    except BaseException:
        fleet.stop()
        raise
    fleet.write_state()
    sys.stdout.write(
        f"fleet of {user} is running; to export its addresses: . {STATE_DIRECTORY / 'env'}\n"
    )
    return 0


if __name__ == "__main__":
    sys.exit(main())
