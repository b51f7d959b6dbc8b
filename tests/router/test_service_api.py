"""Tests of service calls: idempotent operations are retried, others are run at most once."""

from __future__ import annotations

import asyncio

import pytest
from tests.router.fake_agent import FakeAgent
from tests.router.fake_agent import FakeRequest
from tests.router.fake_agent import Script
from tests.router.fake_agent import close_connection
from tests.router.fake_agent import encode_head
from tests.router.fake_agent import never_respond
from tests.router.fake_agent import refuse
from tests.router.fake_agent import respond_with
from tests.router.harness import running_router

from cornellead_core.claims import partition_of
from cornellead_core.claims import rank_owners

HOLD = "/v1/services/booking/hold"
LOOK = "/v1/services/booking/look"
KEY = "key-1"
SERVERS = ("s1", "s2", "s3")


def make_agents(script: Script) -> list[FakeAgent]:
    """Make agents in the router's preference order for `KEY`."""
    partition = partition_of(team="a", key=KEY)
    order = rank_owners(service="booking", partition=partition, servers=SERVERS)
    return [FakeAgent(name, script, service="booking") for name in order]


def request_counts(agents: list[FakeAgent]) -> list[int]:
    """Return the number of requests that each agent received."""
    return [len(agent.requests) for agent in agents]


async def truncate_response(request: FakeRequest, writer: asyncio.StreamWriter) -> None:
    """Send a part of the response and close the connection."""
    writer.write(encode_head(request, content_length="10") + b"half")
    await writer.drain()
    await close_connection(request, writer)


@pytest.mark.parametrize(
    "script", [close_connection, truncate_response, respond_with(b"{}", status=500)]
)
async def test_at_most_once_call_that_may_have_run_is_not_retried(script: Script) -> None:
    """Guards against running a call twice after a broken connection or a server error."""
    agents = make_agents(script)
    async with running_router(agents) as router:
        caller = await router.caller().send(HOLD, b"{}", idempotency_key=KEY)
    assert request_counts(agents) == [1, 0, 0]
    assert caller.status >= 500
    if script is not close_connection and script is not truncate_response:
        return
    assert caller.error["outcome"] == "unknown"


async def test_deadline_after_the_call_was_sent_has_unknown_outcome() -> None:
    """Guards against the outcome `not_run` for a call that the server may still run."""
    agents = make_agents(never_respond)
    async with running_router(agents) as router:
        caller = await router.caller().send(HOLD, b"{}", idempotency_key=KEY, x_deadline_ms="100")
    assert (request_counts(agents), caller.error["outcome"]) == ([1, 0, 0], "unknown")


@pytest.mark.parametrize("reason", ["draining", "server_down", "over_bound"])
async def test_refused_call_is_sent_to_the_next_owner(reason: str) -> None:
    """Guards against giving up on a call that did not run, as a refusal guarantees."""
    agents = make_agents(respond_with(b"{}"))
    agents[0].script = refuse(reason)
    async with running_router(agents) as router:
        caller = await router.caller().send(HOLD, b"{}", idempotency_key=KEY)
    assert (caller.status, request_counts(agents)) == (200, [1, 1, 0])


async def test_unreachable_owner_is_skipped() -> None:
    """Guards against the outcome `unknown` for a call when no connection was opened."""
    agents = make_agents(respond_with(b"{}"))
    async with running_router(agents) as router:
        await agents[0].stop()
        caller = await router.caller().send(HOLD, b"{}", idempotency_key=KEY)
    assert (caller.status, request_counts(agents)) == (200, [0, 1, 0])


async def test_call_is_sent_to_the_owner_named_by_the_hint() -> None:
    """Guards against following the preference order after a refusal that names the owner."""
    agents = make_agents(respond_with(b"{}"))
    agents[0].script = refuse("not_owner", hint=agents[2].name)
    async with running_router(agents) as router:
        caller = await router.caller().send(HOLD, b"{}", idempotency_key=KEY)
    assert (caller.status, request_counts(agents)) == (200, [1, 0, 1])


@pytest.mark.parametrize(
    ("reason", "status"), [("log_unavailable", 503), ("key_conflict", 422), ("key_expired", 409)]
)
async def test_final_refusals_are_returned_to_the_caller(reason: str, status: int) -> None:
    """Guards against trying other servers after a refusal that holds for all of them."""
    agents = make_agents(refuse(reason, status=status))
    async with running_router(agents) as router:
        caller = await router.caller().send(HOLD, b"{}", idempotency_key=KEY)
    assert request_counts(agents) == [1, 0, 0]
    assert (caller.status, caller.error["code"]) == (status, reason)
    assert caller.error["outcome"] == "not_run"


async def test_idempotent_call_is_retried_on_another_server() -> None:
    """Guards against an error for a call that is safe to retry within the retry budget."""
    attempts = 0

    async def script(request: FakeRequest, writer: asyncio.StreamWriter) -> None:
        nonlocal attempts
        attempts += 1
        await (close_connection if attempts == 1 else respond_with(b"{}"))(request, writer)

    agents = make_agents(script)
    async with running_router(agents, retry_ratio=1.0, retry_min_per_s=0.0) as router:
        caller = await router.caller().send(LOOK, b"{}")
    assert (caller.status, sorted(request_counts(agents))) == (200, [0, 1, 1])


async def test_idempotent_call_without_budget_is_not_retried() -> None:
    """Guards against retries beyond the retry budget."""
    agents = make_agents(close_connection)
    async with running_router(agents, retry_ratio=0.0, retry_min_per_s=0.0) as router:
        caller = await router.caller().send(LOOK, b"{}")
    assert (sum(request_counts(agents)), caller.error["outcome"]) == (1, "unknown")


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
async def test_invalid_calls_are_rejected(path: str, fields: dict[str, str], status: int) -> None:
    """Guards against forwarding invalid calls.

    The calls have no valid idempotency key or token, are not allowed by the team's policy, or would
    inject a header with encoded line breaks in the path.
    """
    agents = make_agents(respond_with(b"{}"))
    async with running_router(agents) as router:
        caller = await router.caller().send(path, b"{}", **fields)
    assert (caller.status, sum(request_counts(agents))) == (status, 0)


async def test_at_most_once_call_continues_after_its_caller_disconnects() -> None:
    """Guards against cancelling a call that may already have taken effect."""
    may_respond = asyncio.Event()

    async def script(request: FakeRequest, writer: asyncio.StreamWriter) -> None:
        await may_respond.wait()
        await respond_with(b"{}")(request, writer)

    agents = make_agents(script)
    async with running_router(agents) as router:
        caller = router.caller()
        task = asyncio.create_task(caller.send(HOLD, b"{}", idempotency_key=KEY))
        while not agents[0].requests:
            await asyncio.sleep(0.01)
        caller.disconnect()
        may_respond.set()
        await task
        assert not agents[0].closed_by_router.is_set()
    assert request_counts(agents) == [1, 0, 0]
