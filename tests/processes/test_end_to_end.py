"""End-to-end requests through routers, agents and servers as separate processes."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING
from typing import Any

import pytest
from scripts.fleet import team_token
from scripts.traffic import Conversation

if TYPE_CHECKING:
    import httpx
    from scripts.fleet import Fleet

pytestmark = pytest.mark.processes

TEAM_HEADERS = {"authorization": f"Bearer {team_token('tours')}"}


def _make_conversation(name: str, *, length: int = 20) -> Conversation:
    opening = f"{name}: we plan a trip. " * 20
    return Conversation(
        name=name, team="tours", model="chat", opening=opening, answer_length=length
    )


def _join_stream_content(text: str) -> str:
    parts = []
    for line in text.splitlines():
        if line.startswith("data: {"):
            event: dict[str, Any] = json.loads(line[6:])
            parts.append(event["choices"][0]["delta"].get("content", ""))
    return "".join(parts)


def _send_turn(client: httpx.Client, url: str, conversation: Conversation, *, stream: bool) -> str:
    headers = TEAM_HEADERS | {"x-chat-id": conversation.name}
    body = conversation.body(stream=stream)
    resp = client.post(f"{url}/v1/chat/completions", json=body, headers=headers)
    assert resp.status_code == 200, resp.text
    if stream:
        assert "data: [DONE]" in resp.text
        return _join_stream_content(resp.text)
    content: str = resp.json()["choices"][0]["message"]["content"]
    return content


@pytest.mark.parametrize("stream", [True, False])
def test_chat_is_complete(fleet: Fleet, client: httpx.Client, stream: bool) -> None:
    """Guards against lost, repeated or reordered tokens between engine and caller."""
    for number, url in enumerate(fleet.router_urls):
        conversation = _make_conversation(f"complete-{stream}-{number}")
        answer = _send_turn(client, url, conversation, stream=stream)
        assert answer == conversation.expected_answer()


def test_returning_chat_reuses_cache(fleet: Fleet, client: httpx.Client) -> None:
    """Guards against routers that send the turns of one chat to different engines."""
    conversation = _make_conversation("returning")
    for url in [*fleet.router_urls, *fleet.router_urls]:
        headers = TEAM_HEADERS | {"x-chat-id": conversation.name}
        body = conversation.body(stream=False)
        resp = client.post(f"{url}/v1/chat/completions", json=body, headers=headers).json()
        cached = resp["usage"]["prompt_tokens_details"]["cached_tokens"]
        assert cached >= conversation.reusable_tokens
        conversation.add_answer(resp["choices"][0]["message"]["content"])
        conversation.add_question("and the day after?")


def test_retried_payment_runs_once(fleet: Fleet, client: httpx.Client) -> None:
    """Guards against a second charge when a caller retries through another router."""
    headers = TEAM_HEADERS | {"idempotency-key": "payment-1"}
    responses = [
        client.post(f"{url}/v1/services/booking/payment", json={"trip": 1}, headers=headers)
        for url in [*fleet.router_urls, *fleet.router_urls]
    ]
    assert [resp.status_code for resp in responses] == [200] * 4
    assert len({resp.text for resp in responses}) == 1
    assert fleet.effects()["payment/payment-1"] == 1


def test_payment_with_lost_response_is_not_repeated(fleet: Fleet, client: httpx.Client) -> None:
    """Guards against a second charge when the service ran, but its response was lost."""
    services = [server.name for server in fleet.plan.services]
    for name in services:
        fleet.set_faults(name, cut_after=1.0)
    headers = TEAM_HEADERS | {"idempotency-key": "payment-2"}
    outcomes = []
    for url in fleet.router_urls:
        path = f"{url}/v1/services/booking/payment"
        resp = client.post(path, json={"trip": 2}, headers=headers)
        outcomes.append(resp.json()["error"]["outcome"])
    for name in services:
        fleet.set_faults(name)
    assert outcomes == ["unknown", "unknown"]
    assert fleet.effects()["payment/payment-2"] == 1


def test_stream_continues_after_its_agent_is_killed(fleet: Fleet, client: httpx.Client) -> None:
    """Guards against a stream that breaks, repeats or skips tokens when its agent is killed."""
    conversation = _make_conversation("moved", length=200)
    headers = TEAM_HEADERS | {"x-chat-id": conversation.name}
    url = f"{fleet.router_urls[0]}/v1/chat/completions"
    body = conversation.body(stream=True)
    killed_server, text = "", ""
    with client.stream("POST", url, json=body, headers=headers) as resp:
        for chunk in resp.iter_text():
            text += chunk
            if not killed_server and "id: 10\n" in text:
                loads = {name: status["load"] for name, status in fleet.agent_statuses().items()}
                killed_server = max(loads, key=lambda name: loads[name])
                fleet.kill(f"agent-{killed_server}")
    fleet.restart(f"agent-{killed_server}")
    assert "data: [DONE]" in text
    assert _join_stream_content(text) == conversation.expected_answer()


def test_planned_router_stop_finishes_streams(fleet: Fleet, client: httpx.Client) -> None:
    """Guards against a planned stop that cuts a stream in progress."""
    conversation = _make_conversation("planned", length=100)
    headers = TEAM_HEADERS | {"x-chat-id": conversation.name}
    url = f"{fleet.router_urls[1]}/v1/chat/completions"
    body = conversation.body(stream=True)
    text = ""
    with client.stream("POST", url, json=body, headers=headers) as resp:
        for chunk in resp.iter_text():
            if not text:
                fleet.terminate("router-2")
            text += chunk
    assert _join_stream_content(text) == conversation.expected_answer()
    assert fleet.processes["router-2"].wait(20.0) == 0
    fleet.restart("router-2")
