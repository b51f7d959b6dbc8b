"""Loads of the queue in the router, and a table of what callers get."""

from __future__ import annotations

from tests.router.gateway.forwarding.queue_play import Kind
from tests.router.gateway.forwarding.queue_play import Play
from tests.router.gateway.forwarding.queue_play import run_play

PLAIN_KINDS = (
    Kind(0, 200.0, 0.0225, 0.0225, 0.163, 1.691),
    Kind(1, 200.0, 0.0225, 0.0225, 0.163, 1.691),
)
MODEL_KINDS = (
    Kind(0, 32.0, 1.4, 0.05, 0.269, 10.7),
    Kind(1, 104.0, 0.15, 0.06, 0.322, 2.686),
    Kind(2, 36.0, 1.9, 0.15, 1.245, 12.45),
)
PLAIN = Play(PLAIN_KINDS, 1.0, servers=3, slots=6, server_queue=24, queue=False)
"""Plain service whose usual rate takes half of the slots."""
MODEL = Play(MODEL_KINDS, 1.0, servers=4, slots=64, server_queue=192, queue=False, streaming=True)
"""The same for four model servers, whose requests the gateway does not hold."""
PLAYS = {
    "plain-calm": PLAIN,
    "plain-3": PLAIN._replace(factor=3.0),
    "plain-4": PLAIN._replace(factor=4.0),
    "plain-team-8": PLAIN._replace(factor=1.5, large_team=8.0),
    "plain-slow": PLAIN._replace(factor=1.6, slow_servers=1),
    "plain-3-slow-reports": PLAIN._replace(factor=3.0, report_interval_s=0.9),
    "plain-slow-slow-reports": PLAIN._replace(factor=1.6, slow_servers=1, report_interval_s=0.9),
    "plain-lost-router": PLAIN._replace(factor=3.0, lost_router_at=2.0),
    "model-3": MODEL._replace(factor=3.0),
    "model-4": MODEL._replace(factor=4.0),
    "model-team-8": MODEL._replace(factor=1.5, large_team=8.0),
    "model-slow": MODEL._replace(factor=1.6, slow_servers=1),
}


def main() -> None:
    """Print the figures of all plays without and with the queue."""
    for name, play in PLAYS.items():
        for queue in (False, True):
            result = run_play(play._replace(queue=queue))
            print(name, "with queue" if queue else "without", result.summary(), flush=True)


if __name__ == "__main__":
    main()
