"""Responses of a service that arrive while the call is being sent, or have no valid status."""

from __future__ import annotations

import httpx
import pytest
from tests.early_server import ENDS
from tests.early_server import UPLOAD
from tests.early_server import EarlyServer

from cornellead_agent.services import ServiceRequest
from cornellead_agent.services._server_client import SendError
from cornellead_agent.services._server_client import ServerClient

BODY = b"part"
LENGTH = b"Content-Length: %d\r\n" % len(BODY)
TIMEOUT_S = 1.0


def _request(body: bytes) -> ServiceRequest:
    return ServiceRequest(
        operation="look",
        team="a",
        key=None,
        key_time_s=None,
        body=body,
        content_type="application/json",
        deadline_s=TIMEOUT_S,
        request_id="r1",
        at_most_once=False,
    )


@pytest.mark.parametrize("end", ENDS)
async def test_response_without_a_length_to_a_call_not_sent_is_lost(end: str) -> None:
    """Guards against part of a response that is recorded as the whole: the service ended the
    connection while the call was being sent."""
    server = EarlyServer(body=BODY, end=end)
    await server.start()
    async with httpx.AsyncClient() as client:
        sender = ServerClient(client=client, url=f"http://{server.address}")
        result = await sender.send(_request(UPLOAD), timeout_s=TIMEOUT_S)
    server.stop()
    assert result.failure() is SendError.LOST


async def test_response_without_a_length_to_a_call_sent_is_complete() -> None:
    """Guards against a complete response that is lost because it has no length."""
    server = EarlyServer(body=BODY, end="fin")
    await server.start()
    async with httpx.AsyncClient() as client:
        sender = ServerClient(client=client, url=f"http://{server.address}")
        result = await sender.send(_request(b"{}"), timeout_s=TIMEOUT_S)
    server.stop()
    assert result.unwrap().body == BODY


@pytest.mark.parametrize("status", [b"000", b"099", b"101", b"104", b"199", b"600", b"999"])
async def test_response_with_an_invalid_status_is_lost(status: bytes) -> None:
    """Guards against a status outside of HTTP that is recorded as the response of a call."""
    server = EarlyServer(body=BODY, end="stay", fields=LENGTH, status=status)
    await server.start()
    async with httpx.AsyncClient() as client:
        sender = ServerClient(client=client, url=f"http://{server.address}")
        result = await sender.send(_request(b"{}"), timeout_s=TIMEOUT_S)
    server.stop()
    assert result.failure() is SendError.LOST
