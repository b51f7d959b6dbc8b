"""G5: a request with the outcome ``not_run`` did not run and never runs later."""

from __future__ import annotations

import asyncio
import json
import random
from typing import TYPE_CHECKING
from typing import Any

import pytest
from tests.guarantees.claim_histories import LogFaults
from tests.guarantees.claim_histories import ServiceFaults
from tests.guarantees.claim_histories import World
from tests.guarantees.claim_histories import find_violations
from tests.guarantees.claim_histories import outcome_of
from tests.guarantees.claim_histories import run_in_virtual_time
from tests.guarantees.claim_histories._fake_log import EPOCH_MS

from cornellead_agent.services import ServiceRequest
from cornellead_agent.services import _error_responses
from cornellead_agent.services._service_handler import MAX_ENTRIES
from cornellead_core.facts import HOSTS
from cornellead_core.platform import HostEntry
from cornellead_core.platform import HostKind

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    from tests.guarantees.claim_histories import Attempt

    Scenario = Callable[[World], Awaitable[Attempt]]

KEY = "k41"
OTHER_KEY, THIRD_KEY = "k51", "k101"
"""Other keys in the same partition."""
LATE_APPEND = LogFaults(lost_response=1.0, late=1.0)
VALIDITY_S = 100.0


async def log_outage(world: World) -> Attempt:
    """The log is unavailable before the claim is appended."""
    world.log.outage = True
    return await world.call(0, key=KEY, deadline_s=10.0)


async def log_outage_after_claim(world: World) -> Attempt:
    """The claim is recorded, then the log becomes unreachable before it is read back."""
    await world.call(0, key=OTHER_KEY)
    attempt = asyncio.create_task(world.call(0, key=KEY, deadline_s=10.0))
    while world.log.page("claims.booking.0", 0, 100).records[-1].value["kind"] != "claim":
        await asyncio.sleep(0.001)
    world.agents[0].process.cut_off = True
    return await attempt


async def claim_recorded_late(world: World) -> Attempt:
    """The append is not acknowledged and its record appears after the caller was refused."""
    await world.call(0, key=OTHER_KEY)
    world.log.faults = LATE_APPEND
    return await world.call(0, key=KEY, deadline_s=0.3)


async def claim_recorded_late_after_outage(world: World) -> Attempt:
    """The append is in flight during the whole outage and its record appears afterwards."""
    await world.call(0, key=OTHER_KEY)
    world.log.faults = LATE_APPEND
    attempt = asyncio.create_task(world.call(0, key=KEY, deadline_s=10.0))
    await asyncio.sleep(0.05)
    world.log.outage = True
    return await attempt


async def append_rate_exceeded(world: World) -> Attempt:
    """The log rejects every append."""
    await world.call(0, key=OTHER_KEY)
    world.log.faults = LogFaults(rejected=1.0)
    return await world.call(0, key=KEY, deadline_s=1.0)


async def deadline_before_claim(world: World) -> Attempt:
    """The deadline has already passed on arrival."""
    return await world.call(0, key=KEY, deadline_s=0.0)


async def deadline_in_claim(world: World) -> Attempt:
    """The deadline passes while the claim is appended."""
    world.log.faults = LogFaults(delay_s=1.0)
    return await world.call(0, key=KEY, deadline_s=0.5)


async def deadline_while_paused(world: World) -> Attempt:
    """The process is paused until after the deadline while its claim is recorded."""
    await world.call(0, key=OTHER_KEY)
    attempt = asyncio.create_task(world.call(0, key=KEY, deadline_s=0.5))
    await asyncio.sleep(0.02)
    world.agents[0].process.pause()
    await asyncio.sleep(2.0)
    world.agents[0].process.resume()
    return await attempt


async def partition_taken_over(world: World) -> Attempt:
    """The owner is paused, another agent takes over its partition, then the owner resumes."""
    await world.call(0, key=OTHER_KEY)
    world.agents[0].process.pause()
    attempt = asyncio.create_task(world.call(0, key=KEY))
    await asyncio.sleep(0.01)
    await world.call(1, key=THIRD_KEY)
    world.agents[0].process.resume()
    return await attempt


async def preferred_owner_exists(world: World) -> Attempt:
    """Another ready agent ranks higher for the partition of the key."""
    names = [f"a{number}" for number in range(9)]
    hosts = [HostEntry(n, HostKind.AGENT, "r", "d", f"{n}:1", "", service="booking") for n in names]
    world.agents[0].board.write(HOSTS, tuple(hosts))
    return await world.call(0, key=KEY)


async def server_unreachable(world: World) -> Attempt:
    """The server refuses connections."""
    world.service.faults = ServiceFaults(refused=1.0)
    return await world.call(0, key=KEY)


async def key_conflict(world: World) -> Attempt:
    """The key was used for a request with another body."""
    await world.call(0, key=KEY, body=b"first")
    return await world.call(0, key=KEY, body=b"second")


async def key_conflict_in_progress(world: World) -> Attempt:
    """The key is in use by a request in progress with another body."""
    world.service.faults = ServiceFaults(slow=1.0)
    world.start(world.call(0, key=KEY, body=b"first", deadline_s=20.0))
    await asyncio.sleep(0.5)
    return await world.call(0, key=KEY, body=b"second")


async def key_expired(world: World) -> Attempt:
    """The key is older than its validity."""
    return await world.call(0, key=KEY, key_time_s=EPOCH_MS / 1000 - VALIDITY_S - 1.0)


async def key_expires_in_claim(world: World) -> Attempt:
    """The key expires while the claim is appended."""
    await world.call(0, key=OTHER_KEY)
    world.log.faults = LogFaults(delay_s=2.0)
    key_made_at_s = EPOCH_MS / 1000 + asyncio.get_running_loop().time() - VALIDITY_S + 0.15
    return await world.call(0, key=KEY, key_time_s=key_made_at_s, deadline_s=20.0)


async def key_time_ahead(world: World) -> Attempt:
    """The time of the key is in the future."""
    return await world.call(0, key=KEY, key_time_s=EPOCH_MS / 1000 + 60.0)


async def without_key(world: World) -> Attempt:
    """A request without a key for an operation that must run at most once."""
    return await world.call(0, key="")


async def too_many_keys(world: World) -> Attempt:
    """The agent holds the maximum number of keys in memory."""
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(type(world.agents[0].handler), "entries", MAX_ENTRIES)
        return await world.call(0, key=KEY)


SCENARIOS: list[tuple[Scenario, str]] = [
    (log_outage, "log_unavailable"),
    (log_outage_after_claim, "log_unavailable"),
    (claim_recorded_late, "deadline"),
    (claim_recorded_late_after_outage, "log_unavailable"),
    (append_rate_exceeded, "log_unavailable"),
    (deadline_before_claim, "deadline"),
    (deadline_in_claim, "deadline"),
    (deadline_while_paused, "deadline"),
    (partition_taken_over, "not_owner"),
    (preferred_owner_exists, "not_owner"),
    (server_unreachable, "server_down"),
    (key_conflict, "key_conflict"),
    (key_conflict_in_progress, "key_conflict"),
    (key_expired, "key_expired"),
    (key_expires_in_claim, "key_expired"),
    (key_time_ahead, "key_time_ahead"),
    (without_key, "idempotency_key_required"),
    (too_many_keys, "over_bound"),
]


def _code(attempt: Attempt) -> str:
    assert attempt.response is not None
    return str(json.loads(attempt.response.body)["error"]["code"])


def _clear_faults(world: World) -> None:
    world.log.outage = False
    world.log.faults = LogFaults()
    world.service.faults = ServiceFaults()
    for agent in world.agents:
        agent.process.cut_off = False


@pytest.mark.parametrize(
    ("scenario", "code"), SCENARIOS, ids=lambda value: getattr(value, "__name__", value)
)
def test_refused_request_never_runs(scenario: Scenario, code: str) -> None:
    """Guards against a refused request that ran, or that runs after the fault is removed."""

    async def run_scenario() -> None:
        world = World(
            rng=random.Random(5), agents=2, validity_s=VALIDITY_S, retention_s=VALIDITY_S * 1.2
        )
        attempt = await scenario(world)
        assert (outcome_of(attempt), _code(attempt)) == ("not_run", code)
        _clear_faults(world)
        await asyncio.sleep(30.0)
        assert attempt.request_id not in {effect.request_id for effect in world.service.effects}
        assert not find_violations(world.attempts, world.service.effects)

    run_in_virtual_time(run_scenario())


@pytest.mark.parametrize(
    "scenario",
    [
        log_outage,
        log_outage_after_claim,
        claim_recorded_late,
        deadline_while_paused,
        partition_taken_over,
        server_unreachable,
    ],
    ids=lambda scenario: scenario.__name__,
)
def test_key_of_a_refused_request_can_be_reused(scenario: Scenario) -> None:
    """Guards against a claim that is never cancelled and blocks its key until the key expires."""

    async def run_scenario() -> None:
        world = World(rng=random.Random(5), agents=2)
        attempt = await scenario(world)
        _clear_faults(world)
        await asyncio.sleep(30.0)
        for index in (1, 0):
            retry = await world.call(index, key=attempt.key)
            assert outcome_of(retry) in ("ran", "replayed")
        assert not find_violations(world.attempts, world.service.effects)

    run_in_virtual_time(run_scenario())


def test_scenarios_cover_every_refusal_reason() -> None:
    """Guards against a new refusal reason that no scenario tests."""
    assert {reason.value for reason in _error_responses._MESSAGE_BY_REASON} <= {
        code for _, code in SCENARIOS
    }


@pytest.mark.parametrize("at_most_once", [True, False])
def test_refused_connection_for_a_call_without_a_key_is_not_run(at_most_once: bool) -> None:
    """Guards against a wrong outcome for a call without a key that did not reach the server."""

    async def run_scenario() -> None:
        world = World(rng=random.Random(5), service_faults=ServiceFaults(refused=1.0))
        fields: dict[str, Any] = {"key": None, "key_time_s": None, "request_id": "r0"}
        request = ServiceRequest(
            operation="quote",
            team="shop",
            body=b"",
            content_type="text/plain",
            deadline_s=1.0,
            at_most_once=at_most_once,
            **fields,
        )
        response = await world.agents[0].handler.handle(request)
        assert json.loads(response.body)["error"]["outcome"] == "not_run"
        assert response.status == (400 if at_most_once else 503)

    run_in_virtual_time(run_scenario())
