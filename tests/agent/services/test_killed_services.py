"""Services that end, or are killed, while they answer without a length or chunks."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import httpx
import pytest
from tests.router.gateway.scripted_server import ScriptedServer

from cornellead_agent.services import ServiceRequest
from cornellead_agent.services._server_client import SendError
from cornellead_agent.services._server_client import ServerClient

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from collections.abc import Awaitable
    from collections.abc import Callable

    from returns.result import Result
    from tests.router.gateway.scripted_server import ScriptedExchange

    from cornellead_agent.services._service_response import ServiceResponse

    Send = Callable[..., Awaitable[Result[ServiceResponse, SendError]]]

BODY = b'{"seat": 7}'
TIMEOUT_S = 2.0
REQUEST = ServiceRequest(
    operation="hold",
    team="a",
    key="k",
    key_time_s=None,
    body=b"{}",
    content_type="application/json",
    deadline_s=TIMEOUT_S,
    request_id="r1",
    at_most_once=True,
)


class Service:
    """A service that sends a body without a length, and then ends in one of several ways.

    :param end: ``killed``; ``leaving``, which stops listening before it answers; or ``sound``.
    """

    def __init__(self, *, body: bytes, end: str) -> None:
        self._body = body
        self._end = end
        self.server = ScriptedServer(self._respond)

    async def _respond(self, exchange: ScriptedExchange) -> None:
        if self._end == "leaving":
            self.server.stop()
        await exchange.begin_without_length()
        await exchange.send(self._body)
        await asyncio.sleep(0.01)
        if self._end == "killed":
            await self.server.end(listener_delay_s=0.01)
        exchange.writer.close()


@pytest.fixture
async def send() -> AsyncIterator[Send]:
    """Yield a function that sends one call to a service."""
    services: list[Service] = []

    async def send_call(
        *, body: bytes, end: str, timeout_s: float = TIMEOUT_S
    ) -> Result[ServiceResponse, SendError]:
        service = Service(body=body, end=end)
        services.append(service)
        await service.server.start()
        async with httpx.AsyncClient(trust_env=False) as client:
            sender = ServerClient(
                client=client,
                url=f"http://{service.server.address}",
                leaving=lambda: end == "leaving",
            )
            return await sender.send(REQUEST, timeout_s=timeout_s)

    yield send_call
    for service in services:
        service.server.stop()


@pytest.mark.parametrize("size", [0, 5, len(BODY)])
async def test_response_of_a_killed_service_is_lost(send: Send, size: int) -> None:
    """Guards against an empty or half response that is recorded as the result of a call."""
    result = await send(body=BODY[:size], end="killed")
    assert result.failure() is SendError.LOST


@pytest.mark.parametrize("body", [b"", BODY])
@pytest.mark.parametrize("end", ["sound", "leaving"])
async def test_whole_response_that_ends_with_its_connection_is_kept(
    send: Send, end: str, body: bytes
) -> None:
    """Guards against a whole response, also the last one of a service that leaves, that is lost
    since it has no length."""
    result = await send(body=body, end=end)
    assert result.unwrap().body == body


async def test_whole_response_just_before_the_deadline_is_kept(send: Send) -> None:
    """Guards against a whole response that is lost to the check of its end."""
    result = await send(body=BODY, end="sound", timeout_s=0.06)
    assert result.unwrap().body == BODY
