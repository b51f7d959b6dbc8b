"""The handler's answers, ownership and use of the log."""

from __future__ import annotations

import asyncio
import json
from typing import TYPE_CHECKING

import pytest
from returns.result import Failure
from tests.guarantees.claim_histories import LogFaults
from tests.guarantees.claim_histories import ServiceFaults
from tests.guarantees.claim_histories import outcome_of

from cornellead_agent.services import ServiceRequest
from cornellead_core.claims import rank_owners
from cornellead_core.facts import HOSTS
from cornellead_core.platform import HostEntry
from cornellead_core.platform import HostKind
from cornellead_core.platform import HostState

if TYPE_CHECKING:
    from tests.agent.services.conftest import Play
    from tests.guarantees.claim_histories import Attempt
    from tests.guarantees.claim_histories import World

STREAM = "claims.booking.0"
KEYS = ("k41", "k51", "k101", "k119", "k147")
"""All in partition 0."""


def kinds(world: World) -> list[str]:
    """Return the kinds of the records on the stream."""
    return [record.value["kind"] for record in world.log.page(STREAM, 0, 1000).records]


def code(attempt: Attempt) -> str:
    """Return the error code of an answer."""
    assert attempt.response is not None
    return str(json.loads(attempt.response.body)["error"]["code"])


def host(name: str, **fields: object) -> HostEntry:
    """Return an agent of the service."""
    entry = HostEntry(name, HostKind.AGENT, "r", "d", f"{name}:1", "", service="booking")
    return entry._replace(**fields)  # type: ignore[arg-type]


def test_call_is_claimed_run_and_recorded(play: Play) -> None:
    """Guards against an answer without its records."""

    async def scenario(world: World) -> None:
        attempt = await world.call(0, key="k41")
        await asyncio.sleep(1.0)
        assert attempt.response is not None
        assert attempt.response.headers == [("content-type", "text/plain")]
        assert kinds(world) == ["epoch", "claim", "done"]

    play(scenario)


def test_concurrent_calls_share_appends(play: Play) -> None:
    """Guards against one append for each call."""

    async def scenario(world: World) -> None:
        await world.call(0, key="k41")
        await asyncio.sleep(1.0)
        before = world.log.appends
        calls = (world.call(0, key=key) for key in KEYS[1:])
        assert {outcome_of(attempt) for attempt in await asyncio.gather(*calls)} == {"ran"}
        await asyncio.sleep(1.0)
        assert kinds(world)[3:] == ["claim"] * 4 + ["done"] * 4
        # One append for the claims, at most one for each answer.
        assert world.log.appends - before <= 5

    play(scenario)


def test_concurrent_calls_with_one_key(play: Play) -> None:
    """Guards against two effects, or two different answers, for callers that retry early."""

    async def scenario(world: World) -> None:
        attempts = await asyncio.gather(*(world.call(0, key="k41") for _ in range(4)))
        assert sorted(outcome_of(attempt) for attempt in attempts) == ["ran"] + ["replayed"] * 3
        assert len(world.service.effects) == 1

    play(scenario)


def test_idempotent_operation_is_forwarded_without_a_claim(play: Play) -> None:
    """Guards against calls that wait for the log without need."""

    async def scenario(world: World) -> None:
        world.log.outage = True
        request = ServiceRequest(
            operation="quote",
            team="shop",
            key="k41",
            key_time_s=None,
            body=b"",
            content_type="text/plain",
            deadline_s=1.0,
            request_id="r0",
            at_most_once=False,
        )
        response = await world.agents[0].handler.handle(request)
        assert (response.status, world.log.appends) == (200, 0)

    play(scenario)


@pytest.mark.parametrize(
    ("faults", "expected"),
    [
        (ServiceFaults(lost_after=1.0), "answer_lost"),
        (ServiceFaults(lost_before=1.0), "answer_lost"),
        (ServiceFaults(slow=1.0), "deadline"),
    ],
)
def test_failure_after_sending_is_unknown(play: Play, faults: ServiceFaults, expected: str) -> None:
    """Guards against a failure that is reported as if the call had not run."""

    async def scenario(world: World) -> None:
        world.service.faults = faults
        attempt = await world.call(0, key="k41", deadline_s=0.5)
        assert (outcome_of(attempt), code(attempt)) == ("unknown", expected)
        world.service.faults = ServiceFaults()
        await asyncio.sleep(20.0)
        again = await world.call(0, key="k41")
        assert outcome_of(again) == ("replayed" if expected == "deadline" else "unknown")

    play(scenario)


def test_caller_that_leaves_does_not_cut_the_call(play: Play) -> None:
    """Guards against a dispatched call whose answer is not recorded."""

    async def scenario(world: World) -> None:
        world.service.faults = ServiceFaults(slow=1.0)
        await world.call(0, key="k41", leaves_after_s=0.5)
        await asyncio.sleep(15.0)
        assert outcome_of(await world.call(1, key="k41")) == "replayed"

    play(scenario)


def test_caller_that_leaves_before_dispatch_frees_the_key(play: Play) -> None:
    """Guards against a claim that nobody cancels."""

    async def scenario(world: World) -> None:
        world.log.faults = LogFaults(delay_s=1.0)
        await world.call(0, key="k41", leaves_after_s=3.0)
        await asyncio.sleep(10.0)
        assert not world.service.effects
        assert outcome_of(await world.call(0, key="k41", deadline_s=9.0)) == "ran"

    play(scenario)


def test_call_of_a_lost_owner_is_unknown(play: Play) -> None:
    """Guards against running a key again after the agent that claimed it was lost."""

    async def scenario(world: World) -> None:
        world.service.faults = ServiceFaults(slow=1.0)
        world.start(world.call(0, key="k41"))
        await asyncio.sleep(0.5)
        world.restart(0)
        attempt = await world.call(0, key="k41", deadline_s=5.0)
        assert (outcome_of(attempt), code(attempt)) == ("unknown", "key_unresolved")
        await asyncio.sleep(20.0)
        assert len(world.service.effects) == 1

    play(scenario)


def test_former_owner_records_its_answer(play: Play) -> None:
    """Guards against an answer that is lost because the partition moved during the call."""

    async def scenario(world: World) -> None:
        world.service.faults = ServiceFaults(slow=1.0)
        first = world.start(world.call(0, key="k41", deadline_s=20.0))
        await asyncio.sleep(0.5)
        world.service.faults = ServiceFaults()
        await world.call(1, key="k51")
        await first
        await asyncio.sleep(1.0)
        assert outcome_of(await world.call(1, key="k41")) == "replayed"

    play(scenario)


@pytest.mark.parametrize(
    ("fields", "ready", "refused"),
    [
        ({}, True, True),
        ({}, False, False),
        ({"state": HostState.LEAVING}, True, False),
        ({"service": "payment"}, True, False),
    ],
)
def test_preferred_owner(play: Play, fields: dict[str, object], ready: bool, refused: bool) -> None:
    """Guards against calls lost to an owner that is gone, and against two owners without need."""
    first, second = rank_owners(service="booking", partition=0, servers=("a0", "a1"))

    async def scenario(world: World) -> None:
        agent = world.agents[int(second[1])]
        agent.board.write(HOSTS, (host(second), host(first, **fields)))
        if not ready:
            world.service.unready.add(first)
        attempt = await world.call(int(second[1]), key="k41")
        assert outcome_of(attempt) == ("not_run" if refused else "ran")
        if refused and attempt.response is not None:
            assert ("x-cl-hint", first) in attempt.response.headers

    play(scenario)


def test_large_answer_is_not_recorded(play: Play, monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against records that the log refuses, and against a second run in their place."""

    async def scenario(world: World) -> None:
        monkeypatch.setattr(
            "cornellead_agent.services._recorded_answer.MAX_RECORDED_BYTES", len("receipt")
        )
        assert outcome_of(await world.call(0, key="k41")) == "ran"
        again = await world.call(0, key="k41")
        assert (outcome_of(again), code(again)) == ("ran", "answer_not_recorded")

    play(scenario)


def test_retention_shorter_than_validity_is_refused(play: Play) -> None:
    """Guards against keys that the log forgets while they are valid."""

    async def scenario(world: World) -> None:
        handler = world.agents[0].handler
        assert not isinstance(await handler.check_log(), Failure)
        world.log.retention_s = world.validity_s
        checked = await handler.check_log()
        assert isinstance(checked, Failure)
        assert "key_validity_s" in checked.failure()
        attempt = await world.call(0, key="k41", deadline_s=10.0)
        assert (outcome_of(attempt), code(attempt)) == ("not_run", "log_unavailable")

    play(scenario)


def test_takeover_reads_only_what_matters(play: Play) -> None:
    """Guards against a takeover that reads the whole retention of a long stream."""

    async def scenario(world: World) -> None:
        world.log.retention_s = 10 * world.validity_s
        filler = ['{"kind": "cancel", "key": "", "call": ""}'] * 20_000
        world.log.store(STREAM, filler)
        await asyncio.sleep(2 * world.validity_s)
        await world.call(0, key="k41")
        assert outcome_of(await world.call(1, key="k41")) == "replayed"
        assert world.agents[1].handler.entries < 3000

    play(scenario)


def test_handler_is_idle_once_results_are_recorded(play: Play) -> None:
    """Guards against a planned stop that loses a result."""

    async def scenario(world: World) -> None:
        await world.call(0, key="k41")
        assert not world.agents[0].handler.idle
        await asyncio.sleep(1.0)
        assert world.agents[0].handler.idle

    play(scenario)
