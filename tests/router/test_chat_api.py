"""Tests of the chat completions API: errors, deadlines, placement and retries."""

from __future__ import annotations

import asyncio
import json

import pytest
from tests.router.fake_agent import FakeAgent
from tests.router.fake_agent import FakeRequest
from tests.router.fake_agent import Script
from tests.router.fake_agent import close_connection
from tests.router.fake_agent import encode_chunk
from tests.router.fake_agent import encode_head
from tests.router.fake_agent import encode_stream_head
from tests.router.fake_agent import never_respond
from tests.router.fake_agent import refuse
from tests.router.fake_agent import respond_with
from tests.router.harness import make_config
from tests.router.harness import make_team
from tests.router.harness import running_router

from cornellead_core import headers
from cornellead_core.config import Priority
from cornellead_core.config import ServerConfig
from cornellead_core.facts import CONFIG
from cornellead_core.facts import HOSTS
from cornellead_core.load import Digest
from cornellead_core.load import LoadReport
from cornellead_core.load import ServerState
from cornellead_core.load import encode_digest
from cornellead_core.platform import HostState
from cornellead_core.wire import CacheHint

CHAT = "/v1/chat/completions"
BODY = json.dumps({"model": "m", "messages": [{"role": "user", "content": "x"}]}).encode()


@pytest.mark.parametrize(
    ("body", "fields", "status"),
    [
        (BODY, {"team": "nobody"}, 401),
        (b"{", {}, 400),
        (b'{"model": "m", "messages": []}', {}, 400),
        (BODY.replace(b'"m"', b'"other"'), {}, 404),
        (BODY, {"x_priority": "urgent"}, 400),
        (BODY, {"x_deadline_ms": "soon"}, 400),
        (BODY, {"method": "GET"}, 405),
        (BODY, {"path": "/v1/other"}, 404),
        (b"x" * 2000, {}, 413),
        (b"x", {"content_length": "2000"}, 413),
        (None, {}, 408),
    ],
)
async def test_invalid_requests_are_rejected(
    body: bytes | None, fields: dict[str, str], status: int
) -> None:
    """Guards against forwarding invalid requests, and against error bodies without an outcome."""
    agent = FakeAgent("s1", respond_with(b"{}"))
    async with running_router([agent], max_body_bytes=1000, body_timeout_s=0.05) as router:
        caller = await router.caller().send(body=body, **{"path": CHAT, **fields})
    assert caller.status == status
    assert caller.error["outcome"] == "not_run"
    assert set(caller.error) == {"message", "type", "code", "outcome"}
    assert not agent.requests


async def test_chat_request_with_deeply_nested_fields_is_rejected() -> None:
    """Guards against status 500, which leaves open whether the request ran."""
    agent = FakeAgent("s1", respond_with(b"{}"))
    body = BODY[:-1] + b', "x": ' + b"[" * 100_000 + b"]" * 100_000 + b"}"
    async with running_router([agent]) as router:
        caller = await router.caller().send(path=CHAT, body=body)
    assert (caller.status, caller.error["outcome"]) == (400, "not_run")
    assert not agent.requests


async def test_priority_that_the_team_may_not_use_is_rejected() -> None:
    """Guards against a batch team that gets ahead by asking for interactive priority."""
    team = make_team(
        "a", default_priority=Priority.BATCH, allowed_priorities=frozenset({Priority.BATCH})
    )
    agent = FakeAgent("s1", respond_with(b"{}"))
    async with running_router([agent], cfg=make_config(team)) as router:
        refused = await router.caller().chat(stream=False, x_priority="interactive")
        served = await router.caller().chat(stream=False)
    assert (refused.status, served.status) == (403, 200)
    assert agent.requests[0].headers[headers.PRIORITY] == "batch"


async def test_model_list_contains_the_models_of_the_team_only() -> None:
    """Guards against showing the models of other teams, and to callers without a valid token."""
    cfg = make_config(make_team("a", models=frozenset({"m", "n"})), make_team("b"))
    async with running_router([], cfg=cfg) as router:
        caller = await router.caller().send("/v1/models", b"", method="GET", team="a")
        unauthorized = await router.caller().send("/v1/models", b"", method="GET", team="c")
    assert [model["id"] for model in json.loads(caller.body)["data"]] == ["m", "n"]
    assert unauthorized.status == 401


async def test_requests_are_counted_in_status_and_metrics() -> None:
    """Guards against counters that are never incremented."""
    async with running_router([FakeAgent("s1", respond_with(b"{}"))]) as router:
        await router.caller().chat(stream=False)
        status = await router.caller().send("/status", b"", method="GET")
        metrics = await router.caller().send("/metrics", b"", method="GET")
        ready = await router.caller().send("/readyz", b"", method="GET")
    found = json.loads(status.body)
    assert (found["attempts"], found["in_progress"], ready.status) == (1, 0, 200)
    assert b'cornellead_requests_total{kind="chat",status="200"} 1.0' in metrics.body


async def test_later_attempts_get_the_remaining_time_as_deadline() -> None:
    """Guards against a second attempt that runs past the deadline of the caller."""

    async def refuse_slowly(request: FakeRequest, writer: asyncio.StreamWriter) -> None:
        await asyncio.sleep(0.05)
        await refuse("over_bound")(request, writer)

    agents = [FakeAgent(name, refuse_slowly) for name in ("s1", "s2")]
    async with running_router(agents) as router:
        caller = await router.caller().chat(x_deadline_ms="400")
    remaining_ms = [
        int(request.headers[headers.DEADLINE_MS]) for agent in agents for request in agent.requests
    ]
    assert (caller.status, caller.error["outcome"]) == (504, "not_run")
    assert max(remaining_ms) <= 400
    assert min(remaining_ms) < 360


async def test_deadline_after_the_request_was_sent_has_unknown_outcome() -> None:
    """Guards against the outcome `not_run` for a request that an engine may still run."""
    async with running_router([FakeAgent("s1", never_respond)]) as router:
        caller = await router.caller().chat(x_deadline_ms="100")
    assert (caller.status, caller.error["outcome"]) == (504, "unknown")


async def test_outcome_stays_unknown_after_later_refusals() -> None:
    """Guards against the outcome `not_run` although an earlier attempt may have run."""
    attempts = 0

    async def script(request: FakeRequest, writer: asyncio.StreamWriter) -> None:
        nonlocal attempts
        attempts += 1
        await (close_connection if attempts == 1 else refuse("over_bound"))(request, writer)

    agents = [FakeAgent(name, script) for name in ("s1", "s2")]
    async with running_router(agents) as router:
        caller = await router.caller().chat(x_deadline_ms="300")
    assert attempts > 1
    assert caller.error["outcome"] == "unknown"


async def test_retries_after_failures_are_limited_by_the_budget() -> None:
    """Guards against a retry storm when every server closes the connection."""
    agents = [FakeAgent(f"s{n}", close_connection) for n in range(40)]
    async with running_router(agents, retry_ratio=0.25, retry_min_per_s=0.0) as router:
        for n in range(20):
            caller = await router.caller().chat(text=str(n))
            assert caller.error["outcome"] == "unknown"
    assert sum(len(agent.requests) for agent in agents) == 20 + 5


async def break_off_stream(request: FakeRequest, writer: asyncio.StreamWriter) -> None:
    """Begin a stream and close the connection before its first event."""
    writer.write(encode_stream_head(request) + encode_chunk(b"id: 1\n"))
    await writer.drain()
    await close_connection(request, writer)


@pytest.mark.parametrize("failure", [close_connection, break_off_stream])
async def test_chat_that_crashes_engines_is_not_sent_on_and_on(failure: Script) -> None:
    """Guards against one chat that ends engine after engine as long as its deadline allows."""
    agents = [FakeAgent(f"s{n}", failure) for n in range(12)]
    async with running_router(agents, retry_ratio=100.0, retry_min_per_s=100.0) as router:
        caller = await router.caller().chat(x_deadline_ms="3000")
    assert not caller.stream_complete
    assert sum(len(agent.requests) for agent in agents) == 2


@pytest.mark.parametrize("reason", ["over_bound", "cold", "draining", "server_down"])
async def test_refused_request_is_sent_to_the_next_server(reason: str) -> None:
    """Guards against giving up after a refusal, and against charging it to the retry budget."""
    agents = [FakeAgent(f"s{n}", refuse(reason)) for n in range(3)]
    agents.append(FakeAgent("s3", respond_with(b"{}")))
    async with running_router(agents, retry_ratio=0.0, retry_min_per_s=0.0) as router:
        callers = [await router.caller().chat(stream=False, text=str(n)) for n in range(8)]
    assert [caller.status for caller in callers] == [200] * 8


async def test_chat_is_redirected_by_hint_after_it_was_placed_elsewhere() -> None:
    """Guards against missing a chat's cache after the chat was placed on another server.

    When the first server in preference order is full, it must be sent a hint to the server that was
    used instead. When the first server refuses with a hint, the request must go to the named one.
    """
    agents = [FakeAgent(f"s{n}", respond_with(b"{}")) for n in range(4)]
    async with running_router(agents) as router:
        await router.caller().chat(stream=False)
        first = next(agent for agent in agents if agent.requests)
        first.script = refuse("over_bound")
        await router.caller().chat(stream=False)
        second = next(agent for agent in agents if agent.requests and agent is not first)
        while not (
            sent := [item for item in router.control.sent if isinstance(item[1], CacheHint)]
        ):
            await asyncio.sleep(0.01)
        others = [agent for agent in agents if agent not in (first, second)]
        router.data_path.view.record_finished(first.name)
        first.script = refuse("moved", hint=others[0].name)
        await router.caller().chat(stream=False)
    chat = int(first.requests[0].headers[headers.CHAT], 16)
    assert sent == [(f"control-{first.name}", CacheHint(chat, second.name))]
    assert len(others[0].requests) == 1
    assert not others[1].requests


async def test_returning_chat_is_adopted_at_the_last_attempt_only() -> None:
    """Guards against a returning chat on a server without its cache while another one has it.

    Servers that joined recently accept such a chat only with the adopt header.
    """
    agents = [FakeAgent(f"s{n}", refuse("no_cache")) for n in range(3)]

    async def accept_if_adopting(request: FakeRequest, writer: asyncio.StreamWriter) -> None:
        adopting = headers.ADOPT in request.headers
        await (respond_with(b"{}") if adopting else refuse("no_cache"))(request, writer)

    for agent in agents:
        agent.script = accept_if_adopting
    body = {"model": "m", "messages": [{"role": role, "content": "x"} for role in ("user", "x")]}
    body["messages"] = [
        {"role": "user", "content": "x"},
        {"role": "assistant", "content": "y"},
        {"role": "user", "content": "z"},
    ]
    async with running_router(agents) as router:
        caller = await router.caller().send(CHAT, json.dumps(body).encode())
    requests = [request for agent in agents for request in agent.requests]
    assert caller.status == 200
    assert all(request.headers[headers.RETURNING] == "1" for request in requests)
    assert len(requests) == 3
    assert sum(headers.ADOPT in request.headers for request in requests) == 1


async def test_least_loaded_server_is_the_fallback_when_all_are_full() -> None:
    """Guards against queuing a request that the exact load bound still admits.

    All servers refuse within the safety margin of the bound; the fallback leaves out the margin.
    """

    def refuse_unless_fallback(load: int) -> Script:
        async def script(request: FakeRequest, writer: asyncio.StreamWriter) -> None:
            if headers.FALLBACK in request.headers:
                await respond_with(b"{}")(request, writer)
                return
            name = next(agent.name for agent in agents if request in agent.requests)
            report = LoadReport(name, 1, 1, 0, load, 4.0, 4, ServerState.SERVING)
            fields = {headers.LOAD: encode_digest(Digest([], report)), "content-length": "0"}
            fields[headers.REFUSAL] = "over_bound"
            writer.write(encode_head(request, status=429, **fields))

        return script

    agents = [FakeAgent(f"s{load}", refuse_unless_fallback(load)) for load in (7, 5, 6)]
    async with running_router(agents) as router:
        caller = await router.caller().chat(stream=False)
    chosen = [
        agent.name
        for agent in agents
        for request in agent.requests
        if headers.FALLBACK in request.headers
    ]
    assert (caller.status, chosen) == (200, ["s5"])


async def test_servers_out_of_rotation_get_no_requests() -> None:
    """Guards against requests to leaving or draining servers and data centres out of service."""
    agents = [
        FakeAgent("leaving", respond_with(b"{}")),
        FakeAgent("draining", respond_with(b"{}")),
        FakeAgent("out", respond_with(b"{}"), dc="dc-b"),
        FakeAgent("open", respond_with(b"{}")),
    ]
    async with running_router(agents) as router:
        hosts = [
            host._replace(state=HostState.LEAVING) if host.name == "leaving" else host
            for host in router.board.read(HOSTS)
        ]
        router.board.write(HOSTS, tuple(hosts))
        cfg = router.board.read(CONFIG)._replace(
            out_of_service=frozenset({"dc-b"}), servers={"draining": ServerConfig(draining=True)}
        )
        router.board.write(CONFIG, cfg)
        for n in range(8):
            assert (await router.caller().chat(stream=False, text=str(n))).status == 200
    assert [len(agent.requests) for agent in agents] == [0, 0, 0, 8]
