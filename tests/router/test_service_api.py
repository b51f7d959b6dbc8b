"""Service calls: retries of idempotent operations, one dispatch for the others."""

from __future__ import annotations

import asyncio

import pytest
from tests.router.fake_agent import FakeAgent
from tests.router.fake_agent import FakeRequest
from tests.router.fake_agent import Script
from tests.router.fake_agent import answer
from tests.router.fake_agent import hang
from tests.router.fake_agent import hang_up
from tests.router.fake_agent import head
from tests.router.fake_agent import refuse
from tests.router.harness import running

from cornellead_core.claims import partition_of
from cornellead_core.claims import rank_owners

HOLD = "/v1/services/booking/hold"
LOOK = "/v1/services/booking/look"
KEY = "key-1"
SERVERS = ("s1", "s2", "s3")


def make_agents(script: Script) -> list[FakeAgent]:
    """Make agents in the order in which the router asks them for `KEY`."""
    partition = partition_of(team="a", key=KEY)
    order = rank_owners(service="booking", partition=partition, servers=SERVERS)
    return [FakeAgent(name, script, service="booking") for name in order]


def counts(agents: list[FakeAgent]) -> list[int]:
    """Count the requests of each agent."""
    return [len(agent.requests) for agent in agents]


async def cut_off(request: FakeRequest, writer: asyncio.StreamWriter) -> None:
    """Send a part of the response."""
    writer.write(head(request, content_length="10") + b"half")
    await writer.drain()
    await hang_up(request, writer)


@pytest.mark.parametrize("script", [hang_up, cut_off, answer(b"{}", status=500)])
async def test_call_that_may_have_run_is_not_sent_again(script: Script) -> None:
    """Guards against a second effect of a call that must run at most once."""
    agents = make_agents(script)
    async with running(agents) as router:
        caller = await router.caller().send(HOLD, b"{}", idempotency_key=KEY)
    assert counts(agents) == [1, 0, 0]
    assert caller.status >= 500
    if script is not hang_up and script is not cut_off:
        return
    assert caller.error["outcome"] == "unknown"


async def test_deadline_of_a_sent_call_is_unknown() -> None:
    """Guards against `not_run` for a call that the server may still run."""
    agents = make_agents(hang)
    async with running(agents) as router:
        caller = await router.caller().send(HOLD, b"{}", idempotency_key=KEY, x_deadline_ms="100")
    assert (counts(agents), caller.error["outcome"]) == ([1, 0, 0], "unknown")


@pytest.mark.parametrize("reason", ["draining", "server_down", "over_bound"])
async def test_refused_call_goes_to_the_next_owner(reason: str) -> None:
    """Guards against losing a call that a refusal guarantees did not run."""
    agents = make_agents(answer(b"{}"))
    agents[0].script = refuse(reason)
    async with running(agents) as router:
        caller = await router.caller().send(HOLD, b"{}", idempotency_key=KEY)
    assert (caller.status, counts(agents)) == (200, [1, 1, 0])


async def test_unreachable_owner_is_skipped() -> None:
    """Guards against an unknown outcome when no byte was sent."""
    agents = make_agents(answer(b"{}"))
    async with running(agents) as router:
        await agents[0].stop()
        caller = await router.caller().send(HOLD, b"{}", idempotency_key=KEY)
    assert (caller.status, counts(agents)) == (200, [0, 1, 0])


async def test_hint_leads_to_the_owner() -> None:
    """Guards against asking in rank order when an agent knows the owner."""
    agents = make_agents(answer(b"{}"))
    agents[0].script = refuse("not_owner", hint=agents[2].name)
    async with running(agents) as router:
        caller = await router.caller().send(HOLD, b"{}", idempotency_key=KEY)
    assert (caller.status, counts(agents)) == (200, [1, 0, 1])


@pytest.mark.parametrize(
    ("reason", "status"), [("log_unavailable", 503), ("key_conflict", 422), ("key_expired", 409)]
)
async def test_final_refusals_reach_the_caller(reason: str, status: int) -> None:
    """Guards against shopping around for a server that would run the call anyway."""
    agents = make_agents(refuse(reason, status=status))
    async with running(agents) as router:
        caller = await router.caller().send(HOLD, b"{}", idempotency_key=KEY)
    assert counts(agents) == [1, 0, 0]
    assert (caller.status, caller.error["code"]) == (status, reason)
    assert caller.error["outcome"] == "not_run"


async def test_idempotent_call_is_retried_on_another_server() -> None:
    """Guards against failing a call that may safely run twice, and against ignoring the budget."""
    failed = 0

    async def script(request: FakeRequest, writer: asyncio.StreamWriter) -> None:
        nonlocal failed
        failed += 1
        await (hang_up if failed == 1 else answer(b"{}"))(request, writer)

    agents = make_agents(script)
    async with running(agents, retry_ratio=1.0, retry_min_per_s=0.0) as router:
        caller = await router.caller().send(LOOK, b"{}")
    assert (caller.status, sorted(counts(agents))) == (200, [0, 1, 1])


async def test_idempotent_call_without_budget_is_not_retried() -> None:
    """Guards against retries beyond the budget."""
    agents = make_agents(hang_up)
    async with running(agents, retry_ratio=0.0, retry_min_per_s=0.0) as router:
        caller = await router.caller().send(LOOK, b"{}")
    assert (sum(counts(agents)), caller.error["outcome"]) == (1, "unknown")


@pytest.mark.parametrize(
    ("path", "fields", "status"),
    [
        (HOLD, {}, 400),
        (HOLD, {"idempotency_key": "a b"}, 400),
        ("/v1/services/booking/other", {}, 404),
        ("/v1/services/other/look", {}, 404),
        ("/v1/services/booking/look%0d%0ax", {}, 404),
        (LOOK, {"team": "nobody"}, 401),
    ],
)
async def test_invalid_calls_are_refused(path: str, fields: dict[str, str], status: int) -> None:
    """Guards against calls without a key, outside the policy, or with bytes that end a header."""
    agents = make_agents(answer(b"{}"))
    async with running(agents) as router:
        caller = await router.caller().send(path, b"{}", **fields)
    assert (caller.status, sum(counts(agents))) == (status, 0)


async def test_call_goes_on_when_its_caller_leaves() -> None:
    """Guards against cancelling a call whose effect may have happened."""
    go_on = asyncio.Event()

    async def script(request: FakeRequest, writer: asyncio.StreamWriter) -> None:
        await go_on.wait()
        await answer(b"{}")(request, writer)

    agents = make_agents(script)
    async with running(agents) as router:
        caller = router.caller()
        task = asyncio.create_task(caller.send(HOLD, b"{}", idempotency_key=KEY))
        while not agents[0].requests:
            await asyncio.sleep(0.01)
        caller.leave()
        go_on.set()
        await task
        assert not agents[0].closed_by_router.is_set()
    assert counts(agents) == [1, 0, 0]
