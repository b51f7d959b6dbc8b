"""G6: a call under an idempotency key takes effect at most once and every answer is true."""

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
from tests.guarantees.claim_histories import run_virtual
from tests.guarantees.claim_histories._mutants import MUTANTS
from tests.guarantees.claim_histories._mutants import keep_epoch_over_gap

if TYPE_CHECKING:
    from collections.abc import Callable

HISTORIES = 200 if os.environ.get("CI") else 2000
BLOCK = 100
MUTANT_HISTORIES = 200
"""The mutant that is hardest to notice needs about 50."""


@pytest.mark.parametrize("first", range(0, HISTORIES, BLOCK))
def test_histories_have_no_violation(first: int) -> None:
    """Guards against double effects, false outcomes and replays that differ."""
    outcomes: Counter[str] = Counter()
    for seed in range(first, first + BLOCK):
        history = run_history(seed)
        assert not history.violations, f"seed {seed}: {history.violations}"
        outcomes += history.outcomes
    # A block in which some outcome never occurs would prove nothing about it.
    assert {"ran", "replayed", "not_run", "unknown"} <= outcomes.keys()


@pytest.mark.parametrize("mutant", MUTANTS, ids=lambda mutant: mutant.__name__)
def test_histories_notice_a_missing_mechanism(
    mutant: Callable[[pytest.MonkeyPatch], None], monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against histories too tame to reach what a mechanism is there for."""
    mutant(monkeypatch)
    assert any(run_history(seed).violations for seed in range(MUTANT_HISTORIES))


def test_a_history_repeats_from_its_seed() -> None:
    """Guards against failures that cannot be reproduced."""
    assert run_history(7) == run_history(7)


def test_a_plain_history_runs_every_call() -> None:
    """Guards against safety bought by refusing everything."""

    async def play() -> None:
        world = World(rng=random.Random(1))
        for key in ("k14", "k41", "k51"):
            assert outcome_of(await world.call(0, key=key)) == "ran"
            assert outcome_of(await world.call(0, key=key)) == "replayed"
        assert not find_violations(world.attempts, world.service.effects)

    run_virtual(play())


async def _sleep_through_an_epoch(world: World) -> None:
    """Pause an owner until the epoch of its successor is no longer on the log."""
    await world.call(0, key="k41")
    world.agents[0].process.pause()
    await world.call(1, key="k51")
    await asyncio.sleep(world.log.retention_s + 5.0)
    world.agents[0].process.resume()
    for index in (0, 1, 0):
        await world.call(index, key="k101")
    await asyncio.sleep(5.0)


@pytest.mark.parametrize("mutated", [False, True])
def test_owner_that_sleeps_through_an_epoch_and_its_retention(
    mutated: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against an owner that reads past dropped records and misses a later epoch."""
    if mutated:
        keep_epoch_over_gap(monkeypatch)
    violations: list[str] = []

    async def play() -> None:
        world = World(rng=random.Random(1), agents=2, validity_s=16.0, retention_s=18.0)
        await _sleep_through_an_epoch(world)
        violations.extend(find_violations(world.attempts, world.service.effects))

    run_virtual(play())
    assert bool(violations) is mutated
