"""Generates and runs one history from a seed."""

from __future__ import annotations

import asyncio
import random
from collections import Counter
from typing import NamedTuple

from tests.guarantees.claim_histories._checker import find_violations
from tests.guarantees.claim_histories._checker import outcome_of
from tests.guarantees.claim_histories._fake_log import EPOCH_MS
from tests.guarantees.claim_histories._fake_log import LogFaults
from tests.guarantees.claim_histories._fake_service import ServiceFaults
from tests.guarantees.claim_histories._virtual_loop import run_virtual
from tests.guarantees.claim_histories._world import KEYS
from tests.guarantees.claim_histories._world import World

SETTLE_S = 40.0
"""Longer than any late append, slow effect or pause still to come."""


class History(NamedTuple):
    """What happened, for the judgement and for the trace of a failure."""

    seed: int
    violations: list[str]
    outcomes: Counter[str]
    effects: int


class _Profile(NamedTuple):
    """Kind of a history, drawn from its seed."""

    agents: int
    keys: int
    callers: int
    span_s: float
    pause_s: float
    validity_s: float
    retention_s: float
    log_faults: LogFaults
    service_faults: ServiceFaults
    disturbances: int


def _draw_profile(rng: random.Random) -> _Profile:
    def share() -> float:
        return rng.choice((0.0, 0.0, 0.05, 0.25))

    # A short validity lets keys expire and records be dropped within the history.
    short = rng.random() < 0.3
    return _Profile(
        agents=rng.randint(1, 3),
        keys=rng.randint(1, len(KEYS)),
        callers=rng.randint(2, 10),
        span_s=40.0 if short else 12.0,
        pause_s=30.0 if short else 6.0,
        validity_s=16.0 if short else 600.0,
        retention_s=18.0 if short else 700.0,
        log_faults=LogFaults(
            lost_answer=share(),
            late=rng.choice((0.0, 0.5, 1.0)),
            rejected=share(),
            failed_read=share(),
            delay_s=rng.choice((0.005, 0.05, 0.4)),
        ),
        service_faults=ServiceFaults(
            refused=share(), lost_before=share() / 2, lost_after=share() / 2, slow=share()
        ),
        disturbances=rng.choice((0, 2, 5, 9)),
    )


async def _call_and_retry(world: World, profile: _Profile) -> None:
    rng = world.rng
    await asyncio.sleep(rng.uniform(0.0, profile.span_s / 2))
    key = rng.choice(KEYS[: profile.keys])
    body = b"order" if rng.random() < 0.85 else b"another order"
    # Every retry of a key carries the same time; callers' clocks differ by up to the allowance.
    ahead = (hash_of(key) % 100 / 100 - 0.5) * 0.09 * profile.validity_s
    created_s = EPOCH_MS / 1000 + (0.0 if profile.validity_s > 100 else ahead)
    for _ in range(rng.randint(1, 4)):
        attempt = await world.call(
            rng.randrange(profile.agents),
            key=key,
            body=body,
            deadline_s=rng.choice((0.05, 0.5, 2.0, 8.0)),
            key_time_s=created_s,
            leaves_after_s=rng.uniform(0.0, 0.5) if rng.random() < 0.1 else None,
        )
        if outcome_of(attempt) in ("ran", "replayed") and rng.random() < 0.5:
            return
        await asyncio.sleep(rng.choice((0.0, 0.05, 1.0, profile.span_s / 5)) * rng.random())


def hash_of(key: str) -> int:
    """Return a number that depends on the key only."""
    return sum(key.encode()) * 37


async def _disturb(world: World, profile: _Profile) -> None:
    rng = world.rng
    await asyncio.sleep(rng.uniform(0.0, profile.span_s * 0.8))
    index = rng.randrange(profile.agents)
    process = world.agents[index].process
    duration_s = rng.choice((0.05, 1.0, 1.0)) * rng.uniform(0.1, profile.pause_s)
    kind = rng.choice(("pause", "pause", "restart", "restart_paused", "cut_off", "outage"))
    match kind:
        case "pause":
            process.pause()
            await asyncio.sleep(duration_s)
            process.resume()
        case "restart":
            world.restart(index)
        case "restart_paused":
            # The platform replaces a process that it believes dead; the old one wakes up later.
            process.pause()
            world.replace(index)
            await asyncio.sleep(duration_s)
            process.resume()
        case "cut_off":
            process.cut_off = True
            await asyncio.sleep(duration_s)
            process.cut_off = False
        case "outage":
            world.log.outage = True
            await asyncio.sleep(min(duration_s, 6.0))
            world.log.outage = False


async def _play(world: World, profile: _Profile) -> None:
    tasks = [world.start(_call_and_retry(world, profile)) for _ in range(profile.callers)]
    tasks += [world.start(_disturb(world, profile)) for _ in range(profile.disturbances)]
    await asyncio.wait(tasks)
    await asyncio.sleep(SETTLE_S)


def run_history(seed: int) -> History:
    """Run and judge one history."""
    rng = random.Random(seed)
    profile = _draw_profile(rng)
    worlds: list[World] = []

    async def play() -> None:
        world = World(
            rng=rng,
            agents=profile.agents,
            validity_s=profile.validity_s,
            retention_s=profile.retention_s,
            log_faults=profile.log_faults,
            service_faults=profile.service_faults,
        )
        worlds.append(world)
        await _play(world, profile)

    run_virtual(play())
    world = worlds[0]
    violations = find_violations(world.attempts, world.service.effects)
    violations += [f"broken invariant: {exc!r}" for exc in world.broken]
    outcomes = Counter(outcome_of(attempt) for attempt in world.attempts)
    return History(seed, violations, outcomes, len(world.service.effects))
