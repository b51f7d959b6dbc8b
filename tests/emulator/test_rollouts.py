"""Rollouts in the emulated fleet."""

from __future__ import annotations

import random

import pytest

from cornellead_emulator.experiments import LOADS
from cornellead_emulator.routing import ORDER_FACTORIES
from cornellead_emulator.routing import ExperimentMetrics
from cornellead_emulator.routing import Fleet
from cornellead_emulator.routing import FleetSettings
from cornellead_emulator.simulation import EventQueue
from cornellead_emulator.traffic import USERS_CLASSES
from cornellead_emulator.traffic import Arrivals

END_S = 40.0


@pytest.mark.parametrize("slowness", [1.0, 4.0])
def test_slow_version_is_rolled_back_and_a_sound_one_completed(slowness: float) -> None:
    """Guards against a verdict that mistakes empty prompt caches for a slow version, or the other
    way round."""
    queue, metrics = EventQueue(), ExperimentMetrics()
    fleet = Fleet(
        settings=FleetSettings(),
        make_order=ORDER_FACTORIES["gateway"],
        queue=queue,
        metrics=metrics,
        rng=random.Random(1),
    )
    Arrivals(
        classes=USERS_CLASSES,
        queue=queue,
        rng=random.Random(2),
        rate_factor=lambda now: 1.0 if now < END_S else 0.0,
        on_request=fleet.submit,
    )
    if slowness > 1.0:
        LOADS["bad_version"].schedule_events(fleet, queue)
    else:
        for _ in range(len(fleet.servers)):
            fleet.start_server(version="v2")
        fleet.order_rollout(to="v2", duration_s=30.0)
    queue.run(until=END_S)
    end = "rolled_back" if slowness > 1.0 else "completed"
    assert fleet.rollouts.log.statuses == ["running", end]
    assert metrics.within_target >= 0.97 * metrics.submitted
