"""Service calls over the HTTP interfaces of the stand-in platform and service."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING
from typing import Any

import httpx
import pytest

from cornellead_agent.services import ServiceHandler
from cornellead_agent.services import ServiceRequest
from cornellead_core.blackboard import Blackboard
from cornellead_core.platform import HttpLogClient
from cornellead_core.settings import AgentSettings
from cornellead_core.settings import ProcessSettings
from cornellead_core.settings import ServerSettings
from cornellead_standins.platform import PlatformSettings
from cornellead_standins.platform import build_app as build_platform
from cornellead_standins.service import ServiceSettings
from cornellead_standins.service import build_app as build_service

if TYPE_CHECKING:
    from cornellead_agent.services import ServiceResponse


def make_client(service: httpx.AsyncBaseTransport | None = None) -> httpx.AsyncClient:
    """Return a client that is connected to new stand-ins in this process, without sockets.

    :param service: Replaces the stand-in of the service.
    """
    platform: Any = build_platform(PlatformSettings(listen=""))
    stand_in: Any = build_service(ServiceSettings(listen="", work_s=0.0))
    return httpx.AsyncClient(
        mounts={
            "http://platform": httpx.ASGITransport(app=platform),
            "http://service": service or httpx.ASGITransport(app=stand_in),
        }
    )


def make_handler(client: httpx.AsyncClient, name: str) -> ServiceHandler:
    """Return the handler of one agent."""
    return ServiceHandler(
        settings=AgentSettings(
            process=ProcessSettings(name, "r", "d", "", "", "http://platform", "0123456789abcdef"),
            server=ServerSettings("http://service", service="booking"),
        ),
        board=Blackboard(),
        log=HttpLogClient(client=client, url="http://platform"),
        client=client,
        incarnation=1,
    )


async def call(handler: ServiceHandler, number: int, attempt: int) -> ServiceResponse:
    """Send one attempt of a booking to an agent."""
    return await handler.handle(
        ServiceRequest(
            operation="book",
            team="shop",
            key=f"order-{number}",
            key_time_s=None,
            body=b"{}",
            content_type="application/json",
            deadline_s=30.0,
            request_id=f"{number:016x}{attempt:016x}",
            at_most_once=True,
        )
    )


async def test_retry_through_another_agent_replays_the_response() -> None:
    """Guards against records or responses that change when encoded for the log or for HTTP."""
    client = make_client()
    handlers = [make_handler(client, name) for name in ("a0", "a1")]
    tasks = [
        asyncio.create_task(controller.run())
        for handler in handlers
        for controller in handler.controllers()
    ]
    first = await asyncio.gather(*(call(handlers[0], number, 0) for number in range(20)))
    while not handlers[0].idle:
        await asyncio.sleep(0.01)
    second = await asyncio.gather(*(call(handlers[1], number, 1) for number in range(20)))
    assert [response.status for response in first] == [200] * 20
    assert [response.body for response in second] == [response.body for response in first]
    assert all(("idempotent-replayed", "true") in response.headers for response in second)
    effects = (await client.get("http://service/effects")).json()["effects"]
    assert effects == {f"book/order-{number}": 1 for number in range(20)}
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    await client.aclose()


@pytest.mark.parametrize("status", [503, 429, 408])
async def test_refusal_that_a_service_sends_after_it_ran_is_replayed(status: int) -> None:
    """Guards against a booking that runs twice since its service answers as if it had not run."""
    runs: list[str] = []

    def run(request: httpx.Request) -> httpx.Response:
        runs.append(request.headers["idempotency-key"])
        return httpx.Response(status, text="later")

    client = make_client(httpx.MockTransport(run))
    handler = make_handler(client, "a0")
    tasks = [asyncio.create_task(controller.run()) for controller in handler.controllers()]
    first = await call(handler, 1, 0)
    while not handler.idle:
        await asyncio.sleep(0.01)
    second = await call(handler, 1, 1)
    assert (first.status, second.status, second.body) == (status, status, b"later")
    assert ("idempotent-replayed", "true") in second.headers
    assert runs == ["order-1"]
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    await client.aclose()
