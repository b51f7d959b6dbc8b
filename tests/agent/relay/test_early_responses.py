"""Responses of an engine that arrive while the request is being sent, or have no valid status."""

from __future__ import annotations

import asyncio

import pytest
from returns.result import Success
from tests.early_server import ENDS
from tests.early_server import UPLOAD
from tests.early_server import EarlyServer

from cornellead_agent.relay import ChatRequest
from cornellead_agent.relay import EngineClient
from cornellead_agent.relay import Upstream

BODY = b"id: 1\ndata: a\n\n"
LENGTH = b"Content-Length: %d\r\n" % len(BODY)
TIMEOUT_S = 2.0


@pytest.mark.parametrize("end", ENDS)
async def test_response_without_a_length_to_a_request_not_sent_is_incomplete(end: str) -> None:
    """Guards against part of a response that the agent takes for the whole: the engine ended the
    connection while the request was being sent."""
    server = EarlyServer(body=BODY, end=end)
    await server.start()
    client = EngineClient(url=f"http://{server.address}")
    result = await client.fetch("POST", "/x", body=UPLOAD, timeout_s=TIMEOUT_S)
    server.stop()
    assert not isinstance(result, Success)


@pytest.mark.parametrize("end", ENDS)
async def test_stream_without_a_length_to_a_request_not_sent_is_incomplete(end: str) -> None:
    """Guards against a chat whose stream looks complete at the end of its connection."""
    server = EarlyServer(body=BODY, end=end)
    await server.start()
    upstream = Upstream(client=EngineClient(url=f"http://{server.address}"))
    request = ChatRequest("r1", None, batch=False, body=UPLOAD)
    conn = (await upstream.open(request, resume_from=0)).unwrap()
    async with asyncio.timeout(TIMEOUT_S):
        while await conn.read():
            pass
    server.stop()
    assert not conn.complete


async def test_response_without_a_length_to_a_request_sent_is_complete() -> None:
    """Guards against a complete response that is rejected because it has no length."""
    server = EarlyServer(body=BODY, end="fin")
    await server.start()
    client = EngineClient(url=f"http://{server.address}")
    result = await client.fetch("GET", "/x", timeout_s=TIMEOUT_S)
    server.stop()
    assert result.unwrap().body == BODY


async def test_connection_with_a_request_not_sent_is_not_reused() -> None:
    """Guards against a request that waits behind the unsent rest of an earlier one."""
    server = EarlyServer(body=BODY, end="stay", fields=LENGTH)
    await server.start()
    client = EngineClient(url=f"http://{server.address}")
    for body in (UPLOAD, b""):
        sent = await client.fetch("POST", "/x", body=body, timeout_s=TIMEOUT_S, shared=True)
        assert sent.unwrap().body == BODY
    server.stop()


@pytest.mark.parametrize("status", [b"000", b"099", b"101", b"104", b"199", b"600", b"999"])
async def test_response_with_an_invalid_status_ends_at_once(status: bytes) -> None:
    """Guards against a status outside of HTTP that is passed on, or waited behind."""
    server = EarlyServer(body=BODY, end="stay", fields=LENGTH, status=status)
    await server.start()
    client = EngineClient(url=f"http://{server.address}")
    result = await client.fetch("GET", "/x", timeout_s=TIMEOUT_S)
    server.stop()
    assert "ended early" in result.failure().message
