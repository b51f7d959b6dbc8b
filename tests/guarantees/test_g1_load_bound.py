"""G1: the load of an engine never exceeds the configured multiple of the mean load."""

from __future__ import annotations

import pytest
from hypothesis import HealthCheck
from hypothesis import Phase
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
from tests.guarantees.load_simulation import LoadSimulation
from tests.guarantees.load_simulation import SimulationCase

event_times = st.lists(st.floats(3.0, 9.0), max_size=2).map(tuple)


fleet_cases = st.builds(
    SimulationCase,
    mean=st.sampled_from([0.3, 1.0, 3.0, 8.0]),
    surge=st.sampled_from([1.0, 10.0]),
    seed=st.integers(0, 10_000),
    capacities=st.lists(st.sampled_from([16, 32, 64]), min_size=2, max_size=8).map(tuple),
    routers=st.integers(1, 4),
    data_centres=st.integers(1, 3),
    service_s=st.sampled_from([1.0, 3.0]),
    duration_s=st.just(10.0),
    latency_s=st.sampled_from([0.0005, 0.005]),
    max_wait_s=st.just(3.0),
    message_loss=st.sampled_from([0.0, 0.1, 0.3]),
    host_lag_s=st.sampled_from([0.5, 2.0]),
    engine_starts_s=event_times,
    engine_losses_s=event_times,
)


@settings(
    max_examples=100,
    derandomize=True,
    deadline=None,
    suppress_health_check=[HealthCheck.too_slow],
    # Shrinking takes minutes, and a smaller case is no easier to understand than its seed.
    phases=[Phase.explicit, Phase.generate],
)
@given(case=fleet_cases)
def test_admissions_keep_the_bound_while_engines_join_and_fail(case: SimulationCase) -> None:
    """Guards against a stale or partial mean, or one that includes the load of failed engines."""
    result = LoadSimulation(case).run()
    assert result.bound_violations == 0, result


def test_loss_of_an_engine_above_the_mean_keeps_the_bound() -> None:
    """Guards against a mean that still includes the load of a failed engine."""
    case = SimulationCase(
        seed=503,
        capacities=(64, 16, 32, 64, 32, 32, 32, 16),
        routers=1,
        mean=3.0,
        service_s=1.0,
        duration_s=10.0,
        latency_s=0.005,
        engine_losses_s=(8.75570685717108,),
        host_lag_s=2.0,
    )
    assert LoadSimulation(case).run().bound_violations == 0


@pytest.mark.parametrize("seed", range(2))
@pytest.mark.parametrize("mean", [0.5, 2.0, 5.0])
def test_tenfold_surge_is_admitted_within_the_bound(seed: int, mean: float) -> None:
    """Guards against limits that rise too slowly, so that requests of a surge are abandoned."""
    case = SimulationCase(seed=seed, capacities=(64,) * 6, mean=mean, surge=10, duration_s=10)
    result = LoadSimulation(case).run()
    assert (result.bound_violations, result.abandoned) == (0, 0)


@pytest.mark.parametrize("seed", range(5))
def test_steady_load_is_admitted_without_requeueing(seed: int) -> None:
    """Guards against an estimate so low that requests wait while servers have free capacity."""
    result = LoadSimulation(SimulationCase(seed=seed, capacities=(16, 16, 32, 32, 32, 64))).run()
    assert (result.bound_violations, result.abandoned) == (0, 0)
    assert result.attempts < 4 * result.admitted


def test_large_fleet_keeps_the_bound_with_reporters() -> None:
    """Guards against counting servers twice or not at all when reporters summarize groups."""
    case = SimulationCase(
        seed=1, capacities=(64,) * 20, mean=2, service_s=12.0, routers=6, duration_s=6.0
    )
    result = LoadSimulation(case).run()
    assert result.bound_violations == 0
    assert result.admitted > 0
