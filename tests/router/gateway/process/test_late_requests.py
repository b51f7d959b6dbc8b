"""Requests that come, wait or are still running late in the grace time of a planned stop."""

from __future__ import annotations

import asyncio
import gc
import time
from contextlib import suppress
from typing import TYPE_CHECKING

import pytest
from structlog.testing import capture_logs
from tests.router.gateway.gateway_harness import encode_request
from tests.router.gateway.gateway_harness import read_response

from cornellead.gateway.process import GracefulShutdown

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable
    from collections.abc import Iterator

    from tests.router.gateway.gateway_harness import Gateway
    from tests.router.gateway.scripted_server import Script
    from tests.router.gateway.scripted_server import ScriptedExchange
    from tests.router.gateway.scripted_server import ScriptedServer

    StartServer = Callable[[Script], Awaitable[ScriptedServer]]

GRACE_S = 2.0
REFUSING_AT_S = GRACE_S / 2
MAX_SILENCE_S = 0.2
"""Time from the last byte of a request to the end of its connection, if it gets no answer
(``loss_slack_ms`` of the platform)."""


@pytest.fixture(autouse=True)
def _no_garbage_collection() -> Iterator[None]:
    """Collect garbage between tests only: with the whole suite loaded, a collection takes up to
    0.44 s, longer than `MAX_SILENCE_S`."""
    gc.collect()
    gc.disable()
    yield
    gc.enable()


async def _stop(gateway: Gateway) -> int:
    """Stop the gateway as its process does: afterwards, nothing more is read or sent."""
    cut = await GracefulShutdown(
        serving=gateway.serving, grace_period_s=GRACE_S, callers=gateway.listener
    ).run()
    gateway.exit()
    return cut


async def _stall(exchange: ScriptedExchange) -> None:
    await exchange.disconnected.wait()


async def _pay(exchange: ScriptedExchange) -> None:
    await exchange.send(exchange.sealed_response(200, b"paid"))


async def _refuse_late(exchange: ScriptedExchange) -> None:
    await asyncio.sleep(REFUSING_AT_S + 0.2)
    await exchange.send(exchange.response(503, "X-Not-Executed: 1"))


async def test_request_on_an_idle_connection_is_answered_or_never_read(
    gateway: Gateway, start_server: StartServer
) -> None:
    """Guards against requests that a closing connection reads and drops, so that their callers
    wait for nothing and cannot tell whether they ran."""
    server = await start_server(_pay)
    gateway.configure(server)
    gateway.limits = gateway.limits._replace(idle_timeout_s=10.0)
    conns = [await gateway.connect() for _ in range(30)]
    for _, writer in conns:
        writer.write(encode_request("/unsafe/1", body=b"pay"))
    for reader, _ in conns:
        assert (await read_response(reader)).status == 200
    silent: list[float] = []

    async def call_late(number: int) -> None:
        reader, writer = conns[number]
        await asyncio.sleep(REFUSING_AT_S - 0.1 + number * 0.02)
        sent_at = time.monotonic()
        with suppress(ConnectionError):
            writer.write(encode_request("/unsafe/1", request_id=f"late-{number}", body=b"pay"))
            response = await read_response(reader)
            if response.complete:
                assert response.status in (200, 503)
                return
        if time.monotonic() - sent_at > MAX_SILENCE_S:
            silent.append(time.monotonic() - sent_at)

    with capture_logs() as logs:
        stop = asyncio.create_task(_stop(gateway))
        await asyncio.gather(*(call_late(number) for number in range(30)))
        assert await stop == 0
    for _, writer in conns:
        writer.close()
    assert [line for line in logs if line.get("close_announced") is False] == []
    assert silent == []


async def test_pipelined_requests_are_answered_before_a_stop_closes_their_connection(
    gateway: Gateway, start_server: StartServer
) -> None:
    """Guards against requests that were read behind another one and are dropped after its
    response."""
    gateway.configure(await start_server(_pay))
    gateway.limits = gateway.limits._replace(idle_timeout_s=10.0)
    stop = asyncio.create_task(_stop(gateway))
    await asyncio.sleep(0.1)
    reader, writer = await gateway.connect()
    ids = ("1", "2", "3")
    writer.write(b"".join(encode_request("/unsafe/1", request_id=name) for name in ids))
    responses = [await read_response(reader) for _ in ids]
    assert [response.status for response in responses] == [200, 200, 200]
    assert "connection: close" in responses[-1].head.lower()
    writer.close()
    assert await stop == 0


async def test_unfinished_requests_get_a_final_answer_before_the_exit(
    gateway: Gateway, start_server: StartServer
) -> None:
    """Guards against requests that the end of the grace time cuts off without an answer."""
    gateway.configure(await start_server(_stall))
    reader, writer = await gateway.connect()
    sent_at = time.monotonic()
    writer.write(encode_request("/resumable/1", body=b"pay"))
    await asyncio.sleep(0.1)
    cut = await _stop(gateway)
    response = await read_response(reader)
    assert (cut, response.status, response.complete) == (0, 504, True)
    assert time.monotonic() - sent_at < GRACE_S
    writer.close()


async def test_unfinished_stream_is_broken_off_before_the_exit(
    gateway: Gateway, start_server: StartServer
) -> None:
    """Guards against a stream that looks complete, or hangs, because its router exits."""

    async def script(exchange: ScriptedExchange) -> None:
        await exchange.begin_stream()
        for number in range(1, 200):
            await exchange.send_events(number, number)
            await asyncio.sleep(0.05)

    gateway.configure(await start_server(script))
    reader, writer = await gateway.connect()
    writer.write(encode_request("/resumable/1", body=b"pay"))
    await asyncio.sleep(0.1)
    with capture_logs() as logs:
        assert await _stop(gateway) == 0
    response = await read_response(reader)
    assert response.status == 200 and not response.complete
    assert [line["cause"] for line in logs if line["event"] == "request"] == ["stream_stopped"]
    writer.close()


async def test_request_that_did_not_run_is_not_sent_again_late(
    gateway: Gateway, start_server: StartServer
) -> None:
    """Guards against requests that a stopping router passes on late and then cuts off; another
    router serves them at once."""
    servers = [await start_server(_refuse_late) for _ in range(2)]
    gateway.configure(*servers)
    reader, writer = await gateway.connect()
    writer.write(encode_request("/unsafe/1", body=b"pay"))
    await asyncio.sleep(0.05)
    stop = asyncio.create_task(_stop(gateway))
    response = await read_response(reader)
    assert await stop == 0
    assert response.status == 503 and "retry-after: 0.05" in response.head.lower()
    assert sum(len(server.received) for server in servers) == 1
    writer.close()


@pytest.mark.parametrize(("target_s", "status"), [(5.0, 503), (0.2, 200)])
async def test_request_that_would_outlast_the_grace_time_is_refused_at_once(
    gateway: Gateway, start_server: StartServer, target_s: float, status: int
) -> None:
    """Guards against requests that are passed on although they can hardly end before the exit."""
    server = await start_server(_pay)
    gateway.configure(server, target_latency_s=target_s, timeout_s=20.0)
    stop = asyncio.create_task(_stop(gateway))
    await asyncio.sleep(0.1)
    sent_at = time.monotonic()
    response = await gateway.call("/unsafe/1", body=b"pay")
    assert response.status == status
    assert time.monotonic() - sent_at < MAX_SILENCE_S
    assert len(server.received) == (status == 200)
    assert await stop == 0


async def test_suspension_past_the_exit_leaves_no_request_without_an_answer(
    gateway: Gateway, start_server: StartServer
) -> None:
    """Guards against requests that are cut because the host was suspended during the stop."""
    gateway.configure(await start_server(_stall))
    reader, writer = await gateway.connect()
    writer.write(encode_request("/resumable/1", body=b"pay"))
    await asyncio.sleep(0.1)
    stop = asyncio.create_task(_stop(gateway))
    await asyncio.sleep(0.1)
    time.sleep(GRACE_S)
    assert await stop == 0
    assert (await read_response(reader)).status in (502, 504)
    writer.close()
