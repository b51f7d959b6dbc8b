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
from tests.guarantees.claim_histories._fake_log import EPOCH_MS
from tests.guarantees.claim_histories._mutants import MUTANTS
from tests.guarantees.claim_histories._mutants import evict_without_clock_allowance
from tests.guarantees.claim_histories._mutants import ignore_early_drops
from tests.guarantees.claim_histories._mutants import keep_epoch_after_gap

from cornellead_agent.services import _partition
from cornellead_agent.services._stream_reader import MIN_KEPT_RECORDS

if TYPE_CHECKING:
    from collections.abc import Awaitable
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


async def sleep_through_an_epoch(world: World) -> None:
    """An owner is paused until the epoch of its successor is no longer on the log."""
    await world.call(0, key="k41")
    world.agents[0].process.pause()
    await world.call(1, key="k51")
    await asyncio.sleep(world.log.retention_s + 5.0)
    world.agents[0].process.resume()
    for index in (0, 1, 0):
        await world.call(index, key="k101")


async def retry_when_the_claim_is_older_than_the_key(world: World) -> None:
    """The caller's clock is ahead, so the key expires later than its claim."""
    key_time_s = EPOCH_MS / 1000 + 0.7
    await world.call(0, key="k41", key_time_s=key_time_s)
    await asyncio.sleep(world.validity_s + 0.1)
    await world.call(0, key="k51")
    await world.call(0, key="k41", key_time_s=key_time_s)


async def drop_by_number(world: World) -> None:
    """The log drops the claim of a valid key because the stream has too many records."""
    await world.call(0, key="k41")
    await asyncio.sleep(1.0)
    filler = ['{"kind": "cancel", "key": "", "call": ""}']
    world.log.store("claims.booking.0", filler * MIN_KEPT_RECORDS)
    world.log.retention_records = MIN_KEPT_RECORDS
    await world.call(1, key="k41")


@pytest.mark.parametrize("mutated", [False, True])
@pytest.mark.parametrize(
    ("scenario", "mutant"),
    [
        (sleep_through_an_epoch, keep_epoch_after_gap),
        (retry_when_the_claim_is_older_than_the_key, evict_without_clock_allowance),
        (drop_by_number, ignore_early_drops),
    ],
)
def test_rare_cases(
    scenario: Callable[[World], Awaitable[None]],
    mutant: Callable[[pytest.MonkeyPatch], None],
    mutated: bool,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against cases that the histories seldom reach."""
    # An idle owner's renewed epoch would end some of these cases before they begin.
    monkeypatch.setattr(_partition, "RENEWAL_MIN_S", 1e6)
    if mutated:
        mutant(monkeypatch)
    violations: list[str] = []

    async def play() -> None:
        world = World(rng=random.Random(1), agents=2, validity_s=16.0, retention_s=18.0)
        await scenario(world)
        await asyncio.sleep(5.0)
        violations.extend(find_violations(world.attempts, world.service.effects))

    run_virtual(play())
    assert bool(violations) is mutated
