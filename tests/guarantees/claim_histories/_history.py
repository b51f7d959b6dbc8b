"""Generates and runs a random history from a seed."""

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
from tests.guarantees.claim_histories._virtual_loop import run_in_virtual_time
from tests.guarantees.claim_histories._world import KEYS
from tests.guarantees.claim_histories._world import World

QUIESCENCE_S = 40.0
"""Time for pending appends, slow calls and pauses to finish before the history is checked."""


class History(NamedTuple):
    """Result of a history."""

    seed: int
    violations: list[str]
    outcomes: Counter[str]
    effects: int


class _Profile(NamedTuple):
    """Random parameters of a history."""

    agents: int
    keys: int
    callers: int
    span_s: float
    max_pause_s: float
    validity_s: float
    retention_s: float
    log_faults: LogFaults
    service_faults: ServiceFaults
    fault_count: int
    key_created_s: tuple[float, ...]
    clock_skews_s: tuple[float, ...]
    """How far the clock that dates each key is ahead, less than the allowance of 0.8 s."""


def _random_profile(rng: random.Random) -> _Profile:
    def random_rate() -> float:
        return rng.choice((0.0, 0.0, 0.05, 0.25))

    # With a short validity, keys expire and the log drops records within the history.
    short = rng.random() < 0.3
    return _Profile(
        agents=rng.randint(1, 3),
        keys=rng.randint(1, len(KEYS)),
        callers=rng.randint(2, 10),
        span_s=60.0 if short else 12.0,
        max_pause_s=45.0 if short else 6.0,
        validity_s=16.0 if short else 600.0,
        retention_s=18.0 if short else 700.0,
        log_faults=LogFaults(
            lost_response=random_rate(),
            late=rng.choice((0.0, 0.5, 1.0)),
            rejected=random_rate(),
            failed_read=random_rate(),
            delay_s=rng.choice((0.005, 0.05, 0.4)),
        ),
        service_faults=ServiceFaults(
            refused=random_rate(),
            lost_before=random_rate() / 2,
            lost_after=random_rate() / 2,
            slow=random_rate(),
        ),
        fault_count=rng.choice((0, 2, 5, 9)),
        key_created_s=tuple(rng.uniform(0.0, 30.0 if short else 0.0) for _ in KEYS),
        clock_skews_s=tuple(rng.choice((-0.7, 0.0, 0.7)) if short else 0.0 for _ in KEYS),
    )


async def _call_and_retry(world: World, profile: _Profile) -> None:
    rng = world.rng
    key_index = rng.randrange(profile.keys)
    created_s = profile.key_created_s[key_index]
    # All retries of a key carry the same key time, or none if the key cannot expire here.
    key_time_s = created_s + profile.clock_skews_s[key_index]
    has_key_time = profile.validity_s < profile.span_s or key_index % 2 == 0
    await asyncio.sleep(created_s + rng.choice((0.0, 0.1, profile.span_s / 2)) * rng.random())
    body = b"order" if rng.random() < 0.85 else b"another order"
    for _ in range(rng.randint(1, 4)):
        attempt = await world.call(
            rng.randrange(profile.agents),
            key=KEYS[key_index],
            body=body,
            deadline_s=rng.choice((0.05, 0.5, 2.0, 8.0)),
            key_time_s=EPOCH_MS / 1000 + key_time_s if has_key_time else None,
            disconnect_after_s=rng.uniform(0.0, 0.5) if rng.random() < 0.1 else None,
        )
        if outcome_of(attempt) in ("ran", "replayed") and rng.random() < 0.5:
            return
        pause_s = rng.choice((0.0, 0.05, 1.0, profile.span_s / 5)) * rng.random()
        if rng.random() < 0.2 and profile.validity_s < profile.span_s:
            # Retries shortly before or after the key expires.
            expires_s = key_time_s + profile.validity_s - asyncio.get_running_loop().time()
            pause_s = max(0.0, expires_s - 0.8 * rng.random())
        await asyncio.sleep(pause_s)


async def _inject_fault(world: World, profile: _Profile) -> None:
    rng = world.rng
    await asyncio.sleep(rng.uniform(0.0, profile.span_s * 0.8))
    index = rng.randrange(profile.agents)
    process = world.agents[index].process
    duration_s = rng.choice((0.05, 1.0, 1.0)) * rng.uniform(0.1, profile.max_pause_s)
    fault = rng.choice(("pause", "pause", "restart", "restart_paused", "cut_off", "outage"))
    match fault:
        case "pause":
            process.pause()
            await asyncio.sleep(duration_s)
            process.resume()
        case "restart":
            world.restart(index)
        case "restart_paused":
            # The platform replaces a process that it considers dead, which later resumes.
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


async def _restore_log(world: World, profile: _Profile) -> None:
    rng = world.rng
    await asyncio.sleep(rng.uniform(0.0, profile.span_s * 0.6))
    copy = world.log.copy()
    await asyncio.sleep(rng.choice((0.2, 1.0, profile.span_s / 3)) * rng.random())
    world.log.outage = True
    await asyncio.sleep(rng.choice((0.0, 0.2, 2.0)))
    world.log.restore(copy)
    world.log.outage = False


async def _run_workload(world: World, profile: _Profile, *, restores: int) -> None:
    tasks = [world.start(_call_and_retry(world, profile)) for _ in range(profile.callers)]
    tasks += [world.start(_inject_fault(world, profile)) for _ in range(profile.fault_count)]
    tasks += [world.start(_restore_log(world, profile)) for _ in range(restores)]
    await asyncio.wait(tasks)
    await asyncio.sleep(QUIESCENCE_S)


def run_history(seed: int, *, restores: int = 0) -> History:
    """Run the history of a seed and check it.

    :param restores: How often the log comes back from an older copy.
    """
    rng = random.Random(seed)
    profile = _random_profile(rng)
    worlds: list[World] = []

    async def run_workload() -> None:
        world = World(
            rng=rng,
            agents=profile.agents,
            validity_s=profile.validity_s,
            retention_s=profile.retention_s,
            log_faults=profile.log_faults,
            service_faults=profile.service_faults,
        )
        worlds.append(world)
        await _run_workload(world, profile, restores=restores)

    run_in_virtual_time(run_workload())
    world = worlds[0]
    violations = find_violations(world.attempts, world.service.effects)
    violations += [f"broken invariant: {exc!r}" for exc in world.task_errors]
    outcomes = Counter(outcome_of(attempt) for attempt in world.attempts)
    return History(seed, violations, outcomes, len(world.service.effects))
