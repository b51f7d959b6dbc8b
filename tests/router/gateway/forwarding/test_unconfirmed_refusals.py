"""Servers that answer 503, 429 or 408 without stating that they did not run the request."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest
from tests.router.gateway.builders import make_config
from tests.router.gateway.gateway_harness import encode_request
from tests.router.gateway.gateway_harness import read_response

from cornellead_core.routing import RoutingConfig

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    from tests.router.gateway.gateway_harness import Gateway
    from tests.router.gateway.scripted_server import Script
    from tests.router.gateway.scripted_server import ScriptedExchange
    from tests.router.gateway.scripted_server import ScriptedServer

    StartServer = Callable[[Script], Awaitable[ScriptedServer]]

NOT_EXECUTED = "X-Not-Executed: 1"
SEAL = "x-response-seal"


def _answer(status: int, *headers: str) -> Script:
    async def script(exchange: ScriptedExchange) -> None:
        await exchange.send(exchange.sealed_response(status, b"ran", *headers))

    return script


async def _refuse(exchange: ScriptedExchange) -> None:
    await exchange.send(exchange.response(503, NOT_EXECUTED))


def _allow_attempts(gateway: Gateway, max_attempts: int) -> None:
    data = make_config(version=2).data
    routes = tuple(route._replace(max_attempts=max_attempts) for route in data.routes)
    gateway.view.activate_config(RoutingConfig(data=data._replace(routes=routes)))


@pytest.mark.parametrize("max_attempts", [1, 3])
@pytest.mark.parametrize("path", ["/unsafe/1", "/stream/1"])
@pytest.mark.parametrize("status", [503, 429, 408])
async def test_unconfirmed_refusal_promises_nothing(
    gateway: Gateway, start_server: StartServer, status: int, path: str, max_attempts: int
) -> None:
    """Guards against a seat hold that runs twice, since its caller takes the status for "not run"
    and sends it again."""
    servers = [await start_server(_answer(status, "Retry-After: 1")) for _ in range(2)]
    gateway.configure(*servers)
    _allow_attempts(gateway, max_attempts)
    response = await gateway.call(path, body=b"hold")
    assert (response.status, response.body) == (502, b"")
    assert SEAL not in response.head.lower() and "retry-after" not in response.head.lower()
    assert sum(len(server.received) for server in servers) == 1


async def test_unconfirmed_refusal_after_a_confirmed_one_promises_nothing(
    gateway: Gateway, start_server: StartServer
) -> None:
    """Guards against a promise that holds for the first server only."""
    servers = [await start_server(_refuse), await start_server(_answer(429))]
    gateway.configure(*servers)
    for number in range(3):
        response = await gateway.call("/unsafe/1", body=b"hold", request_id=f"a{number}")
        assert response.status == 502
    assert len(servers[1].received) == 3


@pytest.mark.parametrize("status", [503, 429])
async def test_unconfirmed_refusal_of_head_promises_nothing(
    gateway: Gateway, start_server: StartServer, status: int
) -> None:
    """Guards against a promise in the answer to HEAD, which has no body to replace."""

    async def script(exchange: ScriptedExchange) -> None:
        await exchange.send(exchange.sealed_response(status, b"").replace(b": 0", b": 3"))

    gateway.configure(await start_server(script))
    reader, writer = await gateway.connect()
    writer.write(encode_request("/unsafe/1").replace(b"POST", b"HEAD"))
    response = await read_response(reader)
    writer.close()
    assert response.status == 502


async def test_log_tells_the_status_of_the_server_from_that_of_the_router(
    gateway: Gateway, start_server: StartServer, capsys: pytest.CaptureFixture[str]
) -> None:
    """Guards against a 502 whose cause on-call cannot find: a server answered, and how."""
    gateway.configure(await start_server(_answer(503)))
    await gateway.call("/unsafe/1", body=b"hold")
    lines = [line for line in capsys.readouterr().out.splitlines() if "unconfirmed_refusal" in line]
    assert len(lines) == 1
    assert "s0:503" in lines[0] and "server_status_503" in lines[0]


@pytest.mark.parametrize(
    ("path", "status"),
    [("/safe/1", 503), ("/safe/1", 429), ("/resumable/1", 503), ("/unsafe/1", 500)]
    + [("/unsafe/1", 409), ("/unsafe/1", 504), ("/stream/1", 500)],
)
async def test_answer_that_promises_nothing_untrue_is_passed_on(
    gateway: Gateway, start_server: StartServer, path: str, status: int
) -> None:
    """Guards against a server's own failure that its caller does not get: requests that may be
    repeated, and statuses that say nothing of a run."""
    gateway.configure(await start_server(_answer(status)))
    response = await gateway.call(path, body=b"hold")
    assert (response.status, response.body) == (status, b"ran")
    assert SEAL in response.head.lower()


@pytest.mark.parametrize("status", [503, 429, 421])
async def test_confirmed_refusal_is_sent_to_another_server(
    gateway: Gateway, start_server: StartServer, status: int
) -> None:
    """Guards against a 502 for a request that its server has refused, for want of a place or
    because it is another one than the router named."""
    headers = () if status == 421 else (NOT_EXECUTED,)
    servers = [await start_server(_answer(status, *headers)), await start_server(_answer(200))]
    gateway.configure(*servers)
    for number in range(6):
        response = await gateway.call("/unsafe/1", body=b"hold", request_id=f"a{number}")
        assert response.status == 200
    assert len(servers[1].received) == 6


@pytest.mark.parametrize("status", [503, 429])
async def test_confirmed_refusal_by_all_servers_stays_a_refusal(
    gateway: Gateway, start_server: StartServer, status: int
) -> None:
    """Guards against a caller that cannot try again, although nothing has run."""
    gateway.configure(await start_server(_answer(status, NOT_EXECUTED)))
    response = await gateway.call("/unsafe/1", body=b"hold")
    assert response.status == 503 and "retry-after" in response.head.lower()
