"""Responses, partition ownership and log use of the service handler."""

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
    from tests.agent.services.conftest import RunScenario
    from tests.guarantees.claim_histories import Attempt
    from tests.guarantees.claim_histories import World

STREAM = "claims.booking.0"
KEYS = ("k41", "k51", "k101", "k119", "k147")
"""Idempotency keys that all belong to partition 0."""


def read_record_kinds(world: World) -> list[str]:
    """Return the kinds of the records on the stream, in order."""
    return [record.value["kind"] for record in world.log.page(STREAM, 0, 1000).records]


def error_code_of(attempt: Attempt) -> str:
    """Return the error code in the response of an attempt."""
    assert attempt.response is not None
    return str(json.loads(attempt.response.body)["error"]["code"])


def make_host(name: str, **fields: object) -> HostEntry:
    """Return the host list entry of an agent of the service."""
    entry = HostEntry(name, HostKind.AGENT, "r", "d", f"{name}:1", "", service="booking")
    return entry._replace(**fields)  # type: ignore[arg-type]


def test_call_is_claimed_run_and_recorded(run_scenario: RunScenario) -> None:
    """Guards against a response whose claim or done record is missing."""

    async def scenario(world: World) -> None:
        attempt = await world.call(0, key="k41")
        await asyncio.sleep(1.0)
        assert attempt.response is not None
        assert attempt.response.headers == [("content-type", "text/plain")]
        assert read_record_kinds(world) == ["epoch", "claim", "done"]

    run_scenario(scenario)


def test_concurrent_calls_share_appends(run_scenario: RunScenario) -> None:
    """Guards against a separate append for each call."""

    async def scenario(world: World) -> None:
        await world.call(0, key="k41")
        await asyncio.sleep(1.0)
        before = world.log.appends
        calls = (world.call(0, key=key) for key in KEYS[1:])
        assert {outcome_of(attempt) for attempt in await asyncio.gather(*calls)} == {"ran"}
        await asyncio.sleep(1.0)
        assert read_record_kinds(world)[3:] == ["claim"] * 4 + ["done"] * 4
        # One append for the claims and at most one for each done record.
        assert world.log.appends - before <= 5

    run_scenario(scenario)


def test_concurrent_calls_with_one_key_run_once(run_scenario: RunScenario) -> None:
    """Guards against two effects or two different responses when a caller retries early."""

    async def scenario(world: World) -> None:
        attempts = await asyncio.gather(*(world.call(0, key="k41") for _ in range(4)))
        assert sorted(outcome_of(attempt) for attempt in attempts) == ["ran"] + ["replayed"] * 3
        assert len(world.service.effects) == 1

    run_scenario(scenario)


def test_idempotent_operation_is_forwarded_without_a_claim(run_scenario: RunScenario) -> None:
    """Guards against idempotent calls that depend on the log."""

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

    run_scenario(scenario)


@pytest.mark.parametrize(
    ("faults", "expected"),
    [
        (ServiceFaults(lost_after=1.0), "answer_lost"),
        (ServiceFaults(lost_before=1.0), "answer_lost"),
        (ServiceFaults(slow=1.0), "deadline"),
    ],
)
def test_failure_after_sending_is_unknown(
    run_scenario: RunScenario, faults: ServiceFaults, expected: str
) -> None:
    """Guards against the outcome `not_run` for a call that the server may have run."""

    async def scenario(world: World) -> None:
        world.service.faults = faults
        attempt = await world.call(0, key="k41", deadline_s=0.5)
        assert (outcome_of(attempt), error_code_of(attempt)) == ("unknown", expected)
        world.service.faults = ServiceFaults()
        await asyncio.sleep(20.0)
        again = await world.call(0, key="k41")
        assert outcome_of(again) == ("replayed" if expected == "deadline" else "unknown")

    run_scenario(scenario)


def test_call_completes_after_its_caller_disconnects(run_scenario: RunScenario) -> None:
    """Guards against a dispatched call whose response is not recorded."""

    async def scenario(world: World) -> None:
        world.service.faults = ServiceFaults(slow=1.0)
        await world.call(0, key="k41", disconnect_after_s=0.5)
        await asyncio.sleep(15.0)
        assert outcome_of(await world.call(1, key="k41")) == "replayed"

    run_scenario(scenario)


def test_disconnect_before_dispatch_releases_the_key(run_scenario: RunScenario) -> None:
    """Guards against a claim that is never cancelled."""

    async def scenario(world: World) -> None:
        world.log.faults = LogFaults(delay_s=1.0)
        await world.call(0, key="k41", disconnect_after_s=3.0)
        await asyncio.sleep(10.0)
        assert not world.service.effects
        assert outcome_of(await world.call(0, key="k41", deadline_s=9.0)) == "ran"

    run_scenario(scenario)


def test_call_of_a_restarted_owner_has_unknown_outcome(run_scenario: RunScenario) -> None:
    """Guards against running a key again after the agent that claimed it restarted."""

    async def scenario(world: World) -> None:
        world.service.faults = ServiceFaults(slow=1.0)
        world.start(world.call(0, key="k41"))
        await asyncio.sleep(0.5)
        world.restart(0)
        attempt = await world.call(0, key="k41", deadline_s=5.0)
        assert (outcome_of(attempt), error_code_of(attempt)) == ("unknown", "key_unresolved")
        await asyncio.sleep(20.0)
        assert len(world.service.effects) == 1

    run_scenario(scenario)


def test_former_owner_records_its_response(run_scenario: RunScenario) -> None:
    """Guards against losing a response because the partition changed its owner during the call."""

    async def scenario(world: World) -> None:
        world.service.faults = ServiceFaults(slow=1.0)
        first = world.start(world.call(0, key="k41", deadline_s=20.0))
        await asyncio.sleep(0.5)
        world.service.faults = ServiceFaults()
        await world.call(1, key="k51")
        await first
        await asyncio.sleep(1.0)
        assert outcome_of(await world.call(1, key="k41")) == "replayed"

    run_scenario(scenario)


@pytest.mark.parametrize(
    ("fields", "ready", "refused"),
    [
        ({}, True, True),
        ({}, False, False),
        ({"state": HostState.LEAVING}, True, False),
        ({"service": "payment"}, True, False),
    ],
)
def test_call_is_refused_only_for_a_ready_higher_ranked_owner(
    run_scenario: RunScenario, fields: dict[str, object], ready: bool, refused: bool
) -> None:
    """Guards against refusals in favour of an unavailable owner and against competing owners."""
    first, second = rank_owners(service="booking", partition=0, servers=("a0", "a1"))

    async def scenario(world: World) -> None:
        agent = world.agents[int(second[1])]
        agent.board.write(HOSTS, (make_host(second), make_host(first, **fields)))
        if not ready:
            world.service.unready_hosts.add(first)
        attempt = await world.call(int(second[1]), key="k41")
        assert outcome_of(attempt) == ("not_run" if refused else "ran")
        if refused and attempt.response is not None:
            assert ("x-cl-hint", first) in attempt.response.headers

    run_scenario(scenario)


def test_oversized_response_is_not_recorded(
    run_scenario: RunScenario, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against records that the log rejects and against running such a call again."""

    async def scenario(world: World) -> None:
        monkeypatch.setattr(
            "cornellead_agent.services._recorded_response.MAX_RECORDED_BYTES", len("receipt")
        )
        assert outcome_of(await world.call(0, key="k41")) == "ran"
        again = await world.call(0, key="k41")
        assert (outcome_of(again), error_code_of(again)) == ("ran", "answer_not_recorded")

    run_scenario(scenario)


def test_retention_shorter_than_key_validity_is_rejected(run_scenario: RunScenario) -> None:
    """Guards against claims that the log drops while their keys are valid."""

    async def scenario(world: World) -> None:
        handler = world.agents[0].handler
        assert not isinstance(await handler.check_log(), Failure)
        world.log.retention_s = world.validity_s
        checked = await handler.check_log()
        assert isinstance(checked, Failure)
        assert "key_validity_s" in checked.failure()
        attempt = await world.call(0, key="k41", deadline_s=10.0)
        assert (outcome_of(attempt), error_code_of(attempt)) == ("not_run", "log_unavailable")

    run_scenario(scenario)


def test_takeover_skips_expired_records(run_scenario: RunScenario) -> None:
    """Guards against a takeover that reads a long stream from its start."""

    async def scenario(world: World) -> None:
        world.log.retention_s = 10 * world.validity_s
        filler = ['{"kind": "cancel", "key": "", "call": ""}'] * 20_000
        world.log.store(STREAM, filler)
        await asyncio.sleep(2 * world.validity_s)
        await world.call(0, key="k41")
        assert outcome_of(await world.call(1, key="k41")) == "replayed"
        assert world.agents[1].handler.entries < 3000

    run_scenario(scenario)


def test_handler_is_idle_once_results_are_recorded(run_scenario: RunScenario) -> None:
    """Guards against a graceful stop that loses a result."""

    async def scenario(world: World) -> None:
        await world.call(0, key="k41")
        assert not world.agents[0].handler.idle
        await asyncio.sleep(1.0)
        assert world.agents[0].handler.idle

    run_scenario(scenario)
