"""Planned stops while callers send requests, pipeline them, or read slowly."""

from __future__ import annotations

import asyncio
import random
import time
from contextlib import suppress
from typing import TYPE_CHECKING
from typing import NamedTuple

import pytest
from tests.router.gateway.gateway_harness import CallerResponse
from tests.router.gateway.gateway_harness import encode_request
from tests.router.gateway.gateway_harness import read_response

from cornellead.gateway.ingress import ServingState
from cornellead.gateway.process import GracefulShutdown

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    from tests.router.gateway.gateway_harness import Gateway
    from tests.router.gateway.scripted_server import Script
    from tests.router.gateway.scripted_server import ScriptedExchange
    from tests.router.gateway.scripted_server import ScriptedServer

    StartServer = Callable[[Script], Awaitable[ScriptedServer]]

GRACE_S = 3.0
LOAD_GRACE_S = 8.0
LOAD_HEADER_TIMEOUT_S = 3.0
"""Grace time and time limit for headers of the deployments: a busy host makes callers slow."""
CALLERS = 150


async def _stop(gateway: Gateway, *, grace_s: float = GRACE_S) -> int:
    """Stop the gateway as its process does: afterwards, nothing more is read or sent."""
    cut = await GracefulShutdown(
        serving=gateway.serving, grace_period_s=grace_s, callers=gateway.listener
    ).run()
    gateway.exit()
    return cut


async def _send_part(
    gateway: Gateway, *, header_timeout_s: float
) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    """Send a part of the headers of a request, which the gateway waits for."""
    gateway.configure()
    gateway.limits = gateway.limits._replace(header_timeout_s=header_timeout_s)
    reader, writer = await gateway.connect()
    writer.write(b"POST /unsafe/1 HTTP/1.1\r\nHost: b")
    await asyncio.sleep(0.05)
    return reader, writer


async def test_response_reaches_a_slow_caller(gateway: Gateway, start_server: StartServer) -> None:
    """Guards against a response that is cut off by the exit since its caller reads slowly."""
    body = b"x" * (8 << 20)

    async def script(exchange: ScriptedExchange) -> None:
        await exchange.send(exchange.sealed_response(200, body))

    gateway.configure(await start_server(script))
    reader, writer = await gateway.connect()
    writer.write(encode_request("/unsafe/1"))
    await asyncio.sleep(0.2)
    stop = asyncio.create_task(_stop(gateway))
    await asyncio.sleep(1.8)
    response = await read_response(reader)
    assert response.complete and response.body == body
    assert await stop == 0
    writer.close()


async def test_request_that_is_being_sent_is_answered(
    gateway: Gateway, start_server: StartServer
) -> None:
    """Guards against a connection that is cut after a request was received on it in full."""

    async def script(exchange: ScriptedExchange) -> None:
        await exchange.send(exchange.sealed_response(200, b"ok"))

    gateway.configure(await start_server(script))
    gateway.limits = gateway.limits._replace(header_timeout_s=2.0, idle_timeout_s=2.0)
    reader, writer = await gateway.connect()
    request = encode_request("/unsafe/1", body=b"payment")
    writer.write(request[:-4])
    await asyncio.sleep(0.05)
    stop = asyncio.create_task(_stop(gateway))
    await asyncio.sleep(GRACE_S / 2 + 0.2)
    writer.write(request[-4:])
    response = await read_response(reader)
    assert response.status == 503 and "connection: close" in response.head.lower()
    assert await stop == 0
    writer.close()


async def test_stalled_caller_does_not_outlast_the_grace_period(
    gateway: Gateway, start_server: StartServer
) -> None:
    """Guards against a process that is killed because a caller never completes its request."""
    _, writer = await _send_part(gateway, header_timeout_s=30.0)
    loop = asyncio.get_running_loop()
    started_at = loop.time()
    assert await _stop(gateway, grace_s=2.0) == 1
    assert loop.time() - started_at < 2.0
    writer.close()


async def test_request_that_timed_out_just_before_the_exit_is_not_counted_as_cut(
    gateway: Gateway,
) -> None:
    """Guards against a report of cut requests that were answered."""
    reader, writer = await _send_part(gateway, header_timeout_s=1.3)
    stop = asyncio.create_task(_stop(gateway, grace_s=2.0))
    assert (await read_response(reader)).status == 408
    assert await stop == 0
    writer.close()


class _SuspendedCallers:
    """Suspends the process once, for longer than the grace time has left."""

    def __init__(self, gateway: Gateway) -> None:
        self._listener = gateway.listener
        self._suspended = False

    @property
    def unsettled(self) -> int:
        return self._listener.unsettled

    def finish(self) -> int:
        open_connections = self._listener.finish()
        if not self._suspended:
            self._suspended = True
            time.sleep(0.8)
        return open_connections


async def test_timed_out_request_is_answered_though_the_host_was_suspended(
    gateway: Gateway,
) -> None:
    """Guards against an exit before timers that came due while the host was suspended."""
    reader, writer = await _send_part(gateway, header_timeout_s=1.3)
    shutdown = GracefulShutdown(
        serving=gateway.serving, grace_period_s=2.0, callers=_SuspendedCallers(gateway)
    )
    assert await shutdown.run() == 0
    gateway.exit()
    assert (await read_response(reader)).status == 408
    writer.close()


class _SettledCallers:
    """Callers without a connection that the stop has to wait for."""

    unsettled = 0

    def finish(self) -> int:
        return 0


async def test_refused_requests_do_not_use_up_the_grace_time() -> None:
    """Guards against a stop that waits for callers who come back after each refusal, until the
    exit cuts off the requests that it has just accepted."""
    serving = ServingState()
    serving.in_progress = 1
    shutdown = GracefulShutdown(serving=serving, grace_period_s=GRACE_S, callers=_SettledCallers())
    assert await shutdown.run() == 0
    assert not serving.expired


class _Sent(NamedTuple):
    request_id: str
    response: CallerResponse | None
    """``None`` if the connection ended without any byte of a response."""


@pytest.mark.parametrize("seed", range(3))
async def test_stop_under_load_answers_all_that_reached_a_server(
    gateway: Gateway, start_server: StartServer, seed: int
) -> None:
    """Guards against requests that are cut off without an answer although they were passed on, and
    against partial answers, while callers open connections, reuse them and pipeline requests."""
    rng = random.Random(seed)

    async def script(exchange: ScriptedExchange) -> None:
        await asyncio.sleep(rng.uniform(0.0, 0.3))
        await exchange.send(exchange.sealed_response(200, exchange.request_id.encode() * 500))

    servers = [await start_server(script) for _ in range(4)]
    gateway.configure(*servers, timeout_s=LOAD_GRACE_S)
    gateway.limits = gateway.limits._replace(header_timeout_s=LOAD_HEADER_TIMEOUT_S)
    sent: list[_Sent] = []
    stopped = asyncio.Event()

    async def call_until_closed(number: int) -> None:
        serial = 0
        while not stopped.is_set():
            try:
                reader, writer = await gateway.connect()
            except OSError:
                await asyncio.sleep(0.02)
                continue
            response: CallerResponse | None = None
            for _ in range(rng.randint(1, 5)):
                ids = [f"{number}-{serial}-{part}" for part in range(rng.choice((1, 1, 3)))]
                serial += 1
                for request_id in ids:
                    data = encode_request("/unsafe/1", request_id=request_id, body=b"pay")
                    cut = rng.randint(1, len(data) - 1)
                    writer.write(data[:cut])
                    if rng.random() < 0.3:
                        await asyncio.sleep(0.02)
                    writer.write(data[cut:])
                for request_id in ids:
                    response = await read_response(reader)
                    sent.append(_Sent(request_id, response if response.status else None))
                    if response.status == 0:
                        break
                if response is None or "connection: close" in response.head.lower():
                    break
            writer.close()
            with suppress(ConnectionError):
                await writer.wait_closed()

    callers = [asyncio.create_task(call_until_closed(number)) for number in range(CALLERS)]
    await asyncio.sleep(0.3)
    cut = await _stop(gateway, grace_s=LOAD_GRACE_S)
    stopped.set()
    await asyncio.gather(*callers)
    ran = {seen.request_id for server in servers for seen in server.received}
    assert cut == 0 and len(ran) > CALLERS
    assert not gateway.serving.expired, "refused requests were waited for like admitted ones"
    for request_id, response in sent:
        assert response is None or response.complete, f"{request_id} has a partial answer"
        if response is None:
            assert request_id not in ran, f"{request_id} ran and has no answer"
        else:
            assert response.status in (200, 503)
            assert response.status == 200 or request_id not in ran
