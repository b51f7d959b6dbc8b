"""Responses of an agent that arrive while the request is being sent, or have no valid status."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING
from typing import cast

import pytest
from tests.early_server import ENDS
from tests.early_server import UPLOAD
from tests.early_server import EarlyServer
from tests.router.harness import running_router

from cornellead_core.platform import HostEntry
from cornellead_core.platform import HostKind

if TYPE_CHECKING:
    from tests.router.fake_agent import FakeAgent

BODY = b"id: 1\ndata: [DONE]\n\n: end 1 1\n\n"
LENGTH = b"Content-Length: %d\r\n" % len(BODY)
OPERATIONS = ("hold", "look")
DEADLINE_S = 3.0


class EarlyAgent(EarlyServer):
    """Agent of a service or of an engine that answers early."""

    def __init__(self, *, service: str, **options: object) -> None:
        super().__init__(**{"body": BODY, **options})  # type: ignore[arg-type]
        self.service = service

    def entry(self) -> HostEntry:
        """Return the entry of this agent for the host list."""
        return HostEntry(
            "s1",
            HostKind.AGENT,
            "region",
            "dc-a",
            self.address,
            "control-s1",
            service=self.service,
            models=() if self.service else ("m",),
            capacity=4.0,
        )

    async def stop(self) -> None:  # type: ignore[override]
        """Stop listening and close all connections."""
        super().stop()


async def _call(agent: EarlyAgent, operation: str, body: bytes) -> tuple[int, bytes]:
    agents = [cast("FakeAgent", agent)]
    async with running_router(
        agents, max_body_bytes=16 << 20, default_deadline_s=DEADLINE_S
    ) as router:
        path = f"/v1/services/booking/{operation}"
        caller = await router.caller().send(path, body, idempotency_key="k")
    return caller.status, caller.body


@pytest.mark.parametrize("end", ENDS)
@pytest.mark.parametrize("operation", OPERATIONS)
async def test_response_without_a_length_to_a_call_not_sent_is_incomplete(
    operation: str, end: str
) -> None:
    """Guards against part of a response that a caller takes for the whole: its agent ended the
    connection while the call was being sent."""
    agent = EarlyAgent(service="booking", end=end)
    status, _ = await _call(agent, operation, UPLOAD)
    assert agent.heads and status >= 500


@pytest.mark.parametrize("end", ENDS)
async def test_stream_without_a_length_to_a_chat_not_sent_is_incomplete(end: str) -> None:
    """Guards against a chat whose stream ends as if it were complete."""
    agent = EarlyAgent(service="", end=end, fields=b"Content-Type: text/event-stream\r\n")
    async with running_router(
        [cast("FakeAgent", agent)], max_body_bytes=16 << 20, default_deadline_s=DEADLINE_S
    ) as router:
        caller = await router.caller().chat(text="a" * len(UPLOAD))
    assert agent.heads and not caller.stream_complete


@pytest.mark.parametrize("status", [b"000", b"099", b"101", b"104", b"199", b"600", b"999"])
@pytest.mark.parametrize("operation", OPERATIONS)
async def test_response_with_an_invalid_status_ends_at_once(operation: str, status: bytes) -> None:
    """Guards against a status outside of HTTP that reaches a caller, or that holds a call until its
    deadline."""
    agent = EarlyAgent(service="booking", end="stay", fields=LENGTH, status=status)
    started_at = asyncio.get_running_loop().time()
    received, body = await _call(agent, operation, b"{}")
    assert 500 <= received < 600 and body != BODY
    if operation == "look":
        # The call may be repeated, and is as long as there is time.
        assert len(agent.heads) > 1
    else:
        assert len(agent.heads) == 1
        assert asyncio.get_running_loop().time() - started_at < DEADLINE_S
