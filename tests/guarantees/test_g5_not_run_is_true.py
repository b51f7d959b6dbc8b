"""G5: an answer that says ``not_run`` is true, now and later."""

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
from tests.guarantees.claim_histories import run_virtual
from tests.guarantees.claim_histories._fake_log import EPOCH_MS

from cornellead_agent.services import ServiceRequest
from cornellead_agent.services import _answers
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
"""In the same partition."""
LATE = LogFaults(lost_answer=1.0, late=1.0)
VALIDITY_S = 100.0


async def outage(world: World) -> Attempt:
    """The log fails before the claim is appended."""
    world.log.outage = True
    return await world.call(0, key=KEY, deadline_s=10.0)


async def outage_after_claim(world: World) -> Attempt:
    """The claim is recorded, then the log fails before it is read back."""
    await world.call(0, key=OTHER_KEY)
    attempt = asyncio.create_task(world.call(0, key=KEY, deadline_s=10.0))
    while world.log.page("claims.booking.0", 0, 100).records[-1].value["kind"] != "claim":
        await asyncio.sleep(0.001)
    world.agents[0].process.cut_off = True
    return await attempt


async def claim_recorded_late(world: World) -> Attempt:
    """The answer to the append is lost and the record appears after the caller was refused."""
    await world.call(0, key=OTHER_KEY)
    world.log.faults = LATE
    return await world.call(0, key=KEY, deadline_s=0.3)


async def claim_recorded_late_after_outage(world: World) -> Attempt:
    """The record waits in the network for the whole outage."""
    await world.call(0, key=OTHER_KEY)
    world.log.faults = LATE
    attempt = asyncio.create_task(world.call(0, key=KEY, deadline_s=10.0))
    await asyncio.sleep(0.05)
    world.log.outage = True
    return await attempt


async def append_rate_exceeded(world: World) -> Attempt:
    """The log refuses every append."""
    await world.call(0, key=OTHER_KEY)
    world.log.faults = LogFaults(rejected=1.0)
    return await world.call(0, key=KEY, deadline_s=1.0)


async def deadline_before_claim(world: World) -> Attempt:
    """The deadline has passed on arrival."""
    return await world.call(0, key=KEY, deadline_s=0.0)


async def deadline_in_claim(world: World) -> Attempt:
    """The deadline passes while the claim is appended."""
    world.log.faults = LogFaults(delay_s=1.0)
    return await world.call(0, key=KEY, deadline_s=0.5)


async def deadline_while_paused(world: World) -> Attempt:
    """The agent is paused over the deadline with its claim recorded."""
    await world.call(0, key=OTHER_KEY)
    attempt = asyncio.create_task(world.call(0, key=KEY, deadline_s=0.5))
    await asyncio.sleep(0.02)
    world.agents[0].process.pause()
    await asyncio.sleep(2.0)
    world.agents[0].process.resume()
    return await attempt


async def superseded(world: World) -> Attempt:
    """An owner is paused, another agent takes the partition, and the owner wakes up."""
    await world.call(0, key=OTHER_KEY)
    world.agents[0].process.pause()
    attempt = asyncio.create_task(world.call(0, key=KEY))
    await asyncio.sleep(0.01)
    await world.call(1, key=THIRD_KEY)
    world.agents[0].process.resume()
    return await attempt


async def other_owner_preferred(world: World) -> Attempt:
    """A ready server ranks higher."""
    names = [f"a{number}" for number in range(9)]
    hosts = [HostEntry(n, HostKind.AGENT, "r", "d", f"{n}:1", "", service="booking") for n in names]
    world.agents[0].board.write(HOSTS, tuple(hosts))
    return await world.call(0, key=KEY)


async def server_down(world: World) -> Attempt:
    """No connection to the server."""
    world.service.faults = ServiceFaults(refused=1.0)
    return await world.call(0, key=KEY)


async def key_conflict(world: World) -> Attempt:
    """The key was used for another request."""
    await world.call(0, key=KEY, body=b"first")
    return await world.call(0, key=KEY, body=b"second")


async def key_conflict_in_progress(world: World) -> Attempt:
    """The key is being used for another request."""
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
    made_s = EPOCH_MS / 1000 + asyncio.get_running_loop().time() - VALIDITY_S + 0.15
    return await world.call(0, key=KEY, key_time_s=made_s, deadline_s=20.0)


async def key_time_ahead(world: World) -> Attempt:
    """The key claims to be made in the future."""
    return await world.call(0, key=KEY, key_time_s=EPOCH_MS / 1000 + 60.0)


async def without_key(world: World) -> Attempt:
    """An operation that runs at most once, without a key."""
    return await world.call(0, key="")


async def too_many_keys(world: World) -> Attempt:
    """The agent holds as many keys as it may."""
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(type(world.agents[0].handler), "entries", MAX_ENTRIES)
        return await world.call(0, key=KEY)


SCENARIOS: list[tuple[Scenario, str]] = [
    (outage, "log_unavailable"),
    (outage_after_claim, "log_unavailable"),
    (claim_recorded_late, "deadline"),
    (claim_recorded_late_after_outage, "log_unavailable"),
    (append_rate_exceeded, "log_unavailable"),
    (deadline_before_claim, "deadline"),
    (deadline_in_claim, "deadline"),
    (deadline_while_paused, "deadline"),
    (superseded, "not_owner"),
    (other_owner_preferred, "not_owner"),
    (server_down, "server_down"),
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


def _heal(world: World) -> None:
    world.log.outage = False
    world.log.faults = LogFaults()
    world.service.faults = ServiceFaults()
    for agent in world.agents:
        agent.process.cut_off = False


@pytest.mark.parametrize(
    ("scenario", "code"), SCENARIOS, ids=lambda value: getattr(value, "__name__", value)
)
def test_refused_request_never_runs(scenario: Scenario, code: str) -> None:
    """Guards against a refused request that ran, or that runs once the fault is over."""

    async def play() -> None:
        world = World(
            rng=random.Random(5), agents=2, validity_s=VALIDITY_S, retention_s=VALIDITY_S * 1.2
        )
        attempt = await scenario(world)
        assert (outcome_of(attempt), _code(attempt)) == ("not_run", code)
        _heal(world)
        await asyncio.sleep(30.0)
        assert attempt.request_id not in {effect.request_id for effect in world.service.effects}
        assert not find_violations(world.attempts, world.service.effects)

    run_virtual(play())


@pytest.mark.parametrize(
    "scenario",
    [
        outage,
        outage_after_claim,
        claim_recorded_late,
        deadline_while_paused,
        superseded,
        server_down,
    ],
    ids=lambda scenario: scenario.__name__,
)
def test_key_of_a_refused_request_can_be_used_again(scenario: Scenario) -> None:
    """Guards against a claim that is never cancelled and keeps its key for the whole validity."""

    async def play() -> None:
        world = World(rng=random.Random(5), agents=2)
        attempt = await scenario(world)
        _heal(world)
        await asyncio.sleep(30.0)
        for index in (1, 0):
            again = await world.call(index, key=attempt.key)
            assert outcome_of(again) in ("ran", "replayed")
        assert not find_violations(world.attempts, world.service.effects)

    run_virtual(play())


def test_scenarios_cover_every_reason() -> None:
    """Guards against a new reason for a refusal that no scenario checks."""
    assert {reason.value for reason in _answers._MESSAGES} <= {code for _, code in SCENARIOS}


@pytest.mark.parametrize("at_most_once", [True, False])
def test_refused_connection_of_an_unkeyed_call(at_most_once: bool) -> None:
    """Guards against a forwarded call that is reported wrongly."""

    async def play() -> None:
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

    run_virtual(play())
