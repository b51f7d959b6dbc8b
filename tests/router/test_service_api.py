"""Service calls through the HTTP API: at-most-once calls, and retries of idempotent operations."""

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

HOLD_PATH = "/v1/services/booking/hold"
LOOK_PATH = "/v1/services/booking/look"
KEY = "key-1"
SERVERS = ("s1", "s2", "s3")


def make_agents(script: Script) -> list[FakeAgent]:
    """Make agents in the rank order in which the router offers them a call with `KEY`."""
    partition = partition_of(team="a", key=KEY)
    order = rank_owners(service="booking", partition=partition, servers=SERVERS)
    return [FakeAgent(name, script, service="booking") for name in order]


def count_requests(agents: list[FakeAgent]) -> list[int]:
    """Return the number of requests that each agent received."""
    return [len(agent.requests) for agent in agents]


async def truncate_response(request: FakeRequest, writer: asyncio.StreamWriter) -> None:
    """Send a part of the response and close the connection."""
    writer.write(head(request, content_length="10") + b"half")
    await writer.drain()
    await hang_up(request, writer)


@pytest.mark.parametrize("script", [hang_up, truncate_response, answer(b"{}", status=500)])
async def test_call_that_may_have_run_is_not_sent_again(script: Script) -> None:
    """An at-most-once call must not run twice after a lost, truncated or failed response."""
    agents = make_agents(script)
    async with running(agents) as router:
        caller = await router.caller().send(HOLD_PATH, b"{}", idempotency_key=KEY)
    assert count_requests(agents) == [1, 0, 0]
    assert caller.status >= 500
    if script is not hang_up and script is not truncate_response:
        return
    assert caller.error["outcome"] == "unknown"


async def test_deadline_of_a_sent_call_has_unknown_outcome() -> None:
    """The server may still run a call that was sent, so its outcome must not be ``not_run``."""
    agents = make_agents(hang)
    async with running(agents) as router:
        caller = await router.caller().send(
            HOLD_PATH, b"{}", idempotency_key=KEY, x_deadline_ms="100"
        )
    assert (count_requests(agents), caller.error["outcome"]) == ([1, 0, 0], "unknown")


@pytest.mark.parametrize("reason", ["draining", "server_down", "over_bound"])
async def test_refused_call_is_offered_to_the_next_owner(reason: str) -> None:
    """A refusal guarantees that the call did not run, so another server may run it."""
    agents = make_agents(answer(b"{}"))
    agents[0].script = refuse(reason)
    async with running(agents) as router:
        caller = await router.caller().send(HOLD_PATH, b"{}", idempotency_key=KEY)
    assert (caller.status, count_requests(agents)) == (200, [1, 1, 0])


async def test_unreachable_owner_is_skipped() -> None:
    """Without a connection no byte was sent, so another server may run an at-most-once call."""
    agents = make_agents(answer(b"{}"))
    async with running(agents) as router:
        await agents[0].stop()
        caller = await router.caller().send(HOLD_PATH, b"{}", idempotency_key=KEY)
    assert (caller.status, count_requests(agents)) == (200, [0, 1, 0])


async def test_hint_to_the_owner_is_followed() -> None:
    """An agent that names the owner of the key must be followed, before the rank order."""
    agents = make_agents(answer(b"{}"))
    agents[0].script = refuse("not_owner", hint=agents[2].name)
    async with running(agents) as router:
        caller = await router.caller().send(HOLD_PATH, b"{}", idempotency_key=KEY)
    assert (caller.status, count_requests(agents)) == (200, [1, 0, 1])


@pytest.mark.parametrize(
    ("reason", "status"), [("log_unavailable", 503), ("key_conflict", 422), ("key_expired", 409)]
)
async def test_final_refusal_is_returned_to_the_caller(reason: str, status: int) -> None:
    """A final refusal must reach the caller, not be retried on a server that would run the call."""
    agents = make_agents(refuse(reason, status=status))
    async with running(agents) as router:
        caller = await router.caller().send(HOLD_PATH, b"{}", idempotency_key=KEY)
    assert count_requests(agents) == [1, 0, 0]
    assert (caller.status, caller.error["code"]) == (status, reason)
    assert caller.error["outcome"] == "not_run"


async def test_idempotent_call_is_retried_on_another_server() -> None:
    """An idempotent call must be retried after a failure, since it may safely run twice."""
    calls = 0

    async def script(request: FakeRequest, writer: asyncio.StreamWriter) -> None:
        nonlocal calls
        calls += 1
        await (hang_up if calls == 1 else answer(b"{}"))(request, writer)

    agents = make_agents(script)
    async with running(agents, retry_ratio=1.0, retry_min_per_s=0.0) as router:
        caller = await router.caller().send(LOOK_PATH, b"{}")
    assert (caller.status, sorted(count_requests(agents))) == (200, [0, 1, 1])


async def test_idempotent_call_without_budget_is_not_retried() -> None:
    """Retries must stop at the retry budget, which is empty here."""
    agents = make_agents(hang_up)
    async with running(agents, retry_ratio=0.0, retry_min_per_s=0.0) as router:
        caller = await router.caller().send(LOOK_PATH, b"{}")
    assert (sum(count_requests(agents)), caller.error["outcome"]) == (1, "unknown")


@pytest.mark.parametrize(
    ("path", "fields", "status"),
    [
        (HOLD_PATH, {}, 400),
        (HOLD_PATH, {"idempotency_key": "a b"}, 400),
        ("/v1/services/booking/other", {}, 404),
        ("/v1/services/other/look", {}, 404),
        ("/v1/services/booking/look%0d%0ax", {}, 404),
        (LOOK_PATH, {"team": "nobody"}, 401),
    ],
)
async def test_invalid_call_is_rejected(path: str, fields: dict[str, str], status: int) -> None:
    """Invalid calls must not reach an agent.

    They lack a valid key or token, name an operation outside the team's policy, or have a line
    break in the path, which would inject headers into the request to the agent.
    """
    agents = make_agents(answer(b"{}"))
    async with running(agents) as router:
        caller = await router.caller().send(path, b"{}", **fields)
    assert (caller.status, sum(count_requests(agents))) == (status, 0)


async def test_at_most_once_call_continues_after_caller_disconnects() -> None:
    """A cancelled at-most-once call may have taken effect without a recorded response.

    The caller disconnects while the agent runs the call; the router must keep its connection open.
    """
    may_respond = asyncio.Event()

    async def script(request: FakeRequest, writer: asyncio.StreamWriter) -> None:
        await may_respond.wait()
        await answer(b"{}")(request, writer)

    agents = make_agents(script)
    async with running(agents) as router:
        caller = router.caller()
        task = asyncio.create_task(caller.send(HOLD_PATH, b"{}", idempotency_key=KEY))
        while not agents[0].requests:
            await asyncio.sleep(0.01)
        caller.leave()
        may_respond.set()
        await task
        assert not agents[0].closed_by_router.is_set()
    assert count_requests(agents) == [1, 0, 0]
