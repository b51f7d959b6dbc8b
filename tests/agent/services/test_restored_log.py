"""Service calls after the log came back from an older copy."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import pytest
from tests.guarantees.claim_histories import ServiceFaults
from tests.guarantees.claim_histories import outcome_of
from tests.guarantees.claim_histories._fake_log import EPOCH_MS

if TYPE_CHECKING:
    from tests.agent.services.conftest import RunScenario
    from tests.guarantees.claim_histories import World

STREAM = "claims.booking.0"
FILLER = '{"kind": "cancel", "key": "", "call": ""}'


def _key_time_s() -> float:
    return EPOCH_MS / 1000 + asyncio.get_running_loop().time()


@pytest.mark.parametrize("grown", [0, 50])
@pytest.mark.parametrize("index", [0, 1])
def test_key_whose_claim_was_lost_is_not_run_again(
    run_scenario: RunScenario, grown: int, index: int
) -> None:
    """Guards against a second run when the log came back without the claim and its answer."""

    async def scenario(world: World) -> None:
        await world.call(0, key="k51")
        copy = world.log.copy()
        await world.call(0, key="k41")
        await asyncio.sleep(1.0)
        world.log.restore(copy)
        world.log.store(STREAM, [FILLER] * grown)
        attempt = await world.call(index, key="k41", deadline_s=10.0)
        assert outcome_of(attempt) == "unknown"
        assert len([effect for effect in world.service.effects if effect.key == "k41"]) == 1

    run_scenario(scenario)


def test_new_key_runs_after_the_log_was_restored(run_scenario: RunScenario) -> None:
    """Guards against refusals of keys that are younger than the lost history."""

    async def scenario(world: World) -> None:
        copy = world.log.copy()
        await world.call(0, key="k51")
        world.log.restore(copy)
        await asyncio.sleep(0.1 * world.validity_s)
        for index in (0, 1):
            key = f"k{(41, 101)[index]}"
            attempt = await world.call(index, key=key, key_time_s=_key_time_s(), deadline_s=10.0)
            assert outcome_of(attempt) == "ran"

    run_scenario(scenario)


def test_any_key_runs_once_lost_claims_have_expired(run_scenario: RunScenario) -> None:
    """Guards against a partition that stays out of service after the log was restored."""

    async def scenario(world: World) -> None:
        copy = world.log.copy()
        await world.call(0, key="k51")
        world.log.restore(copy)
        assert outcome_of(await world.call(0, key="k119", deadline_s=10.0)) == "unknown"
        await asyncio.sleep(1.1 * world.validity_s)
        assert outcome_of(await world.call(0, key="k119", deadline_s=10.0)) == "ran"

    run_scenario(scenario)


def test_call_that_runs_while_the_log_is_restored_is_recorded(run_scenario: RunScenario) -> None:
    """Guards against an answer that is lost with the claim of its call."""

    async def scenario(world: World) -> None:
        copy = world.log.copy()
        world.service.faults = ServiceFaults(slow=1.0)
        first = world.start(world.call(0, key="k41", deadline_s=20.0))
        await asyncio.sleep(0.5)
        world.service.faults = ServiceFaults()
        world.log.restore(copy)
        await first
        await asyncio.sleep(1.0)
        assert outcome_of(await world.call(1, key="k41", deadline_s=10.0)) == "replayed"

    run_scenario(scenario)


def test_log_without_an_era_is_read_as_before(run_scenario: RunScenario) -> None:
    """Guards against calls that are refused because an older log service names no era."""

    async def scenario(world: World) -> None:
        world.log.names_era = False
        assert outcome_of(await world.call(0, key="k41")) == "ran"
        assert outcome_of(await world.call(1, key="k41")) == "replayed"

    run_scenario(scenario)


def test_claims_are_kept_when_the_log_begins_to_name_its_era(run_scenario: RunScenario) -> None:
    """Guards against an upgrade of the log service that puts calls out of service."""

    async def scenario(world: World) -> None:
        world.log.names_era = False
        await world.call(0, key="k41")
        await asyncio.sleep(1.0)
        world.log.names_era = True
        assert outcome_of(await world.call(0, key="k41", deadline_s=10.0)) == "replayed"
        assert outcome_of(await world.call(0, key="k51", deadline_s=10.0)) == "ran"

    run_scenario(scenario)
