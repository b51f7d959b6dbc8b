"""G6: a call with an idempotency key takes effect at most once, and every response is true."""

from __future__ import annotations

import asyncio
import os
import random
from collections import Counter
from typing import TYPE_CHECKING

import pytest
from tests.guarantees.claim_histories import World
from tests.guarantees.claim_histories import find_violations
from tests.guarantees.claim_histories import outcome_of
from tests.guarantees.claim_histories import run_history
from tests.guarantees.claim_histories import run_in_virtual_time
from tests.guarantees.claim_histories._fake_log import EPOCH_MS
from tests.guarantees.claim_histories._mutants import MUTANTS
from tests.guarantees.claim_histories._mutants import evict_without_clock_allowance
from tests.guarantees.claim_histories._mutants import forget_lost_claims
from tests.guarantees.claim_histories._mutants import ignore_early_drops
from tests.guarantees.claim_histories._mutants import keep_epoch_after_gap
from tests.guarantees.claim_histories._mutants import read_on_in_other_history

from cornellead_agent.services import _ownership
from cornellead_agent.services._stream_reader import MIN_KEPT_RECORDS

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

HISTORIES = 200 if os.environ.get("CI") else 2000
SEEDS_PER_TEST = 100
MUTANT_HISTORIES = 200
"""The mutant that is hardest to detect needs about 50 histories."""


@pytest.mark.parametrize("first_seed", range(0, HISTORIES, SEEDS_PER_TEST))
def test_histories_have_no_violation(first_seed: int) -> None:
    """Guards against duplicate effects, false outcomes and replays unlike the original response."""
    outcomes: Counter[str] = Counter()
    for seed in range(first_seed, first_seed + SEEDS_PER_TEST):
        history = run_history(seed)
        assert not history.violations, f"seed {seed}: {history.violations}"
        outcomes += history.outcomes
    # A block without some outcome would not test that outcome.
    assert {"ran", "replayed", "not_run", "unknown"} <= outcomes.keys()


@pytest.mark.parametrize("restores", [1, 2])
def test_restored_log_causes_no_violation(restores: int) -> None:
    """Guards against a second run of a key whose claim was lost with the log's history."""
    outcomes: Counter[str] = Counter()
    for seed in range(SEEDS_PER_TEST):
        history = run_history(seed, restores=restores)
        assert not history.violations, f"seed {seed}: {history.violations}"
        outcomes += history.outcomes
    assert {"ran", "replayed", "not_run", "unknown"} <= outcomes.keys()


@pytest.mark.parametrize("mutant", MUTANTS, ids=lambda mutant: mutant.__name__)
def test_histories_detect_mutants(
    mutant: Callable[[pytest.MonkeyPatch], None], monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against histories that never exercise one of the safety mechanisms."""
    mutant(monkeypatch)
    assert any(run_history(seed).violations for seed in range(MUTANT_HISTORIES))


def test_history_is_reproducible_from_its_seed() -> None:
    """Guards against failures that cannot be reproduced."""
    assert run_history(7) == run_history(7)


def test_history_without_faults_runs_every_call() -> None:
    """Guards against an agent that is safe only because it refuses calls."""

    async def run_scenario() -> None:
        world = World(rng=random.Random(1))
        for key in ("k14", "k41", "k51"):
            assert outcome_of(await world.call(0, key=key)) == "ran"
            assert outcome_of(await world.call(0, key=key)) == "replayed"
        assert not find_violations(world.attempts, world.service.effects)

    run_in_virtual_time(run_scenario())


async def pause_owner_until_epoch_is_dropped(world: World) -> None:
    """An owner is paused until the log has dropped the epoch of its successor."""
    await world.call(0, key="k41")
    world.agents[0].process.pause()
    await world.call(1, key="k51")
    await asyncio.sleep(world.log.retention_s + 5.0)
    world.agents[0].process.resume()
    for index in (0, 1, 0):
        await world.call(index, key="k101")


async def retry_key_dated_after_its_claim(world: World) -> None:
    """The caller's clock is ahead, so the key expires later than its claim."""
    key_time_s = EPOCH_MS / 1000 + 0.7
    await world.call(0, key="k41", key_time_s=key_time_s)
    await asyncio.sleep(world.validity_s + 0.1)
    await world.call(0, key="k51")
    await world.call(0, key="k41", key_time_s=key_time_s)


async def drop_claim_by_record_count(world: World) -> None:
    """The log drops the claim on a valid key because the stream has too many records."""
    await world.call(0, key="k41")
    await asyncio.sleep(1.0)
    filler_records = ['{"kind": "cancel", "key": "", "call": ""}']
    world.log.store("claims.booking.0", filler_records * MIN_KEPT_RECORDS)
    world.log.retention_records = MIN_KEPT_RECORDS
    await world.call(1, key="k41")


async def restore_log_without_a_claim(world: World) -> None:
    """The log comes back without the claim and the answer of a call that ran."""
    await world.call(0, key="k51")
    copy = world.log.copy()
    await world.call(0, key="k41")
    await asyncio.sleep(1.0)
    world.log.restore(copy)
    await world.call(1, key="k41")


async def claim_below_an_offset_of_the_lost_history(world: World) -> None:
    """The log comes back and grows past what the first owner read, with claims of the second."""
    copy = world.log.copy()
    for key in ("k51", "k101", "k119", "k147"):
        await world.call(0, key=key)
    await asyncio.sleep(1.0)
    world.log.restore(copy)
    await asyncio.sleep(1.0)
    key_time_s = EPOCH_MS / 1000 + asyncio.get_running_loop().time()
    await world.call(1, key="k41", key_time_s=key_time_s)
    await asyncio.sleep(1.0)
    world.log.store("claims.booking.0", ['{"kind": "cancel", "key": "", "call": ""}'] * 50)
    await world.call(0, key="k41", key_time_s=key_time_s)


@pytest.mark.parametrize("is_mutated", [False, True])
@pytest.mark.parametrize(
    ("scenario", "mutant"),
    [
        (pause_owner_until_epoch_is_dropped, keep_epoch_after_gap),
        (retry_key_dated_after_its_claim, evict_without_clock_allowance),
        (drop_claim_by_record_count, ignore_early_drops),
        (restore_log_without_a_claim, forget_lost_claims),
        (claim_below_an_offset_of_the_lost_history, read_on_in_other_history),
    ],
)
def test_rare_scenarios(
    scenario: Callable[[World], Awaitable[None]],
    mutant: Callable[[pytest.MonkeyPatch], None],
    is_mutated: bool,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against violations in scenarios that random histories rarely reach."""
    # If an idle owner renewed its epoch, some of these scenarios could not occur.
    monkeypatch.setattr(_ownership, "MIN_EPOCH_RENEWAL_S", 1e6)
    if is_mutated:
        mutant(monkeypatch)
    violations: list[str] = []

    async def run_scenario() -> None:
        world = World(rng=random.Random(1), agents=2, validity_s=16.0, retention_s=18.0)
        await scenario(world)
        await asyncio.sleep(5.0)
        violations.extend(find_violations(world.attempts, world.service.effects))

    run_in_virtual_time(run_scenario())
    assert bool(violations) is is_mutated
