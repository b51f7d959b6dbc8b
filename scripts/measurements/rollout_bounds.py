"""Exposure and time of the rollback in simulated rollouts: ``ROUTERS RATE SEEDS``.

Run as ``PYTHONPATH=. python scripts/measurements/rollout_bounds.py 38 180 4``.
"""

from __future__ import annotations

import asyncio
import logging
import sys
from typing import TYPE_CHECKING
from typing import NamedTuple

import structlog
from tests.router.gateway.rollout_fleet import EXPOSURE_SHARE
from tests.router.gateway.rollout_fleet import RolloutFleet
from tests.router.gateway.sync.test_rollout_controller import DURATION_S
from tests.router.gateway.sync.test_rollout_controller import SLACK
from tests.router.gateway.sync.test_rollout_controller import bad
from tests.router.gateway.sync.test_rollout_controller import good

if TYPE_CHECKING:
    from tests.router.gateway.sync.test_rollout_controller import Behaviour

LOADS = {
    "good": good,
    "all bad": bad(share=1.0),
    "0.3 bad": bad(),
    "0.15 bad": bad(share=0.15),
    "0.3 bad after 35 s": bad(since_s=35.0),
    "0.5 bad on one route": bad(only="unsafe", share=0.5),
    "0.4 four times slower": bad(slower=4.0, share=0.4),
}


class Run(NamedTuple):
    """Result of one rollout."""

    state: str
    exposure: float
    """Requests to the new version when its end was told, as a fraction of the bound."""
    bad: int
    ended_s: float


async def run(behave: Behaviour, *, routers: int, rate_per_s: float, seed: int) -> Run:
    """Simulate one rollout until its end is told."""
    fleet = RolloutFleet(behave, routers=routers, seed=seed, rate_per_s=rate_per_s)
    fleet.order(duration_s=DURATION_S)
    while len(fleet.store.statuses) < 2 and fleet.now < DURATION_S:
        await fleet.run(0.1)
    bound = EXPOSURE_SHARE * fleet.requests + SLACK
    state = fleet.store.statuses[-1][0]
    return Run(state, len(fleet.sent_new) / bound, len(fleet.bad_new), fleet.now)


async def main() -> None:
    """Print one line for each load."""
    routers, rate_per_s, seeds = int(sys.argv[1]), float(sys.argv[2]), int(sys.argv[3])
    structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(logging.CRITICAL))
    for name, behave in LOADS.items():
        runs = [
            await run(behave, routers=routers, rate_per_s=rate_per_s, seed=seed)
            for seed in range(seeds)
        ]
        print(
            f"{name}: {sorted({run.state for run in runs})}"
            f" exposure up to {max(run.exposure for run in runs):.2f} of the bound,"
            f" bad responses up to {max(run.bad for run in runs)},"
            f" told after {max(run.ended_s for run in runs):.1f} s",
            flush=True,
        )


if __name__ == "__main__":
    asyncio.run(main())
