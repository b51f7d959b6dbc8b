"""Many small responses of a faulty service that fill what all responses may hold, beside a sound
one that is larger than each of them (issue 38)."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

import pytest
from tests.router.gateway.builders import make_config
from tests.router.gateway.builders import make_entry
from tests.router.gateway.builders import make_route
from tests.router.gateway.gateway_harness import Gateway
from tests.router.gateway.gateway_harness import encode_request

from cornellead_core.buffers import BufferBudget
from cornellead_core.routing import RequestKind
from cornellead_core.routing import RoutingConfig
from cornellead_core.routing import WeightedService

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from collections.abc import Awaitable
    from collections.abc import Callable

    from tests.router.gateway.scripted_server import Script
    from tests.router.gateway.scripted_server import ScriptedExchange
    from tests.router.gateway.scripted_server import ScriptedServer

    SoundScript = Callable[[ScriptedExchange, BufferBudget], Awaitable[None]]
    StartServer = Callable[[Script], Awaitable[ScriptedServer]]

LIMIT_BYTES = 2 << 20
FAULTY_REQUESTS = 90
FAULTY_BYTES = 30_000
"""Each far below the sound response; all of them exceed the limit by a third."""
SOUND_BYTES = 200_000
PIECES = 20


@pytest.fixture
async def gateway(free_address: Callable[[], str]) -> AsyncIterator[Gateway]:
    """Yield a gateway with little room for responses."""
    gateway = Gateway(free_address(), max_connections=2 * FAULTY_REQUESTS)
    gateway.pool.budget = BufferBudget(limit_bytes=LIMIT_BYTES)
    await gateway.listener.start()
    yield gateway
    gateway.listener.stop_accepting()
    gateway.pool.close()


async def _send_part_of_an_event(exchange: ScriptedExchange) -> None:
    await exchange.begin_stream()
    await exchange.send_chunk(b"id: 1\ndata: " + b"a" * FAULTY_BYTES)
    await exchange.disconnected.wait()


async def _wait_until_full(budget: BufferBudget) -> None:
    async with asyncio.timeout(5.0):
        while not budget.dropped:
            await asyncio.sleep(0.01)


async def _send_event(exchange: ScriptedExchange, budget: BufferBudget) -> None:
    """Send an event in pieces, while the faulty responses arrive."""
    await exchange.begin_stream()
    await exchange.send_chunk(b"id: 1\ndata: ")
    for _ in range(PIECES):
        await exchange.send_chunk(b"a" * (SOUND_BYTES // PIECES))
        await asyncio.sleep(0.05)
    await _wait_until_full(budget)
    await exchange.send_chunk(b"\n\n")
    await exchange.end_stream()


async def _send_answer(exchange: ScriptedExchange, budget: BufferBudget) -> None:
    """Send an answer in pieces, while the faulty responses arrive."""
    whole = exchange.sealed_response(200, b"a" * SOUND_BYTES)
    for start in range(0, len(whole) - 1, SOUND_BYTES // PIECES):
        await exchange.send(whole[start : min(start + SOUND_BYTES // PIECES, len(whole) - 1)])
        await asyncio.sleep(0.05)
    await _wait_until_full(budget)
    await exchange.send(whole[-1:])


def _configure(gateway: Gateway, sound: ScriptedServer, faulty: list[ScriptedServer]) -> None:
    data = make_config().data
    service = data.services[0]
    route = make_route(
        "faulty",
        RequestKind.STREAMING,
        services=(WeightedService("faulty", 1.0),),
        timeout_s=10.0,
    )
    gateway.configure(sound)
    gateway.view.activate_config(
        RoutingConfig(
            data=data._replace(
                version=2,
                routes=(*data.routes, route),
                services=(service, service._replace(name="faulty")),
            )
        )
    )
    for number, server in enumerate(faulty):
        entry = make_entry(f"f{number}", address=server.address, service="faulty")
        gateway.view.servers.put(entry, now=time.monotonic())


async def _send_faulty_requests(gateway: Gateway) -> list[asyncio.StreamWriter]:
    writers = []
    for number in range(FAULTY_REQUESTS):
        _, writer = await gateway.connect()
        writer.write(encode_request("/faulty/x", request_id=f"7f{number:04d}"))
        writers.append(writer)
        await asyncio.sleep(0.005)
    return writers


@pytest.mark.parametrize("faulty_servers", [1, 2, 20])
@pytest.mark.parametrize(
    ("path", "script"), [("/stream/x", _send_event), ("/unsafe/x", _send_answer)]
)
async def test_small_responses_without_end_do_not_end_a_sound_one(
    gateway: Gateway,
    start_server: StartServer,
    faulty_servers: int,
    path: str,
    script: SoundScript,
) -> None:
    """Guards against a broken stream, or a 502 for work that ran, because a service that does not
    concern the caller holds many small responses (issue 38)."""
    sound = await start_server(lambda exchange: script(exchange, gateway.pool.budget))
    faulty = [await start_server(_send_part_of_an_event) for _ in range(faulty_servers)]
    _configure(gateway, sound, faulty)
    response, writers = await asyncio.gather(
        gateway.call(path, request_id="7fffff"), _send_faulty_requests(gateway)
    )
    assert response.status == 200 and response.complete
    assert len(response.body) >= SOUND_BYTES
    for writer in writers:
        writer.close()


@pytest.mark.parametrize("own_server", [True, False])
async def test_sound_stream_outlasts_small_ones_of_its_service(
    gateway: Gateway, start_server: StartServer, own_server: bool
) -> None:
    """Guards against a broken stream because of a faulty server of the same service, or of other
    responses of the same server that have stood still (issue 38)."""

    async def script(exchange: ScriptedExchange) -> None:
        if exchange.request_id == "7fffff":
            await _send_event(exchange, gateway.pool.budget)
        else:
            await _send_part_of_an_event(exchange)

    server = await start_server(script)
    gateway.configure(*([server] if own_server else [server, await start_server(script)]))
    writers = []
    for number in range(FAULTY_REQUESTS):
        _, writer = await gateway.connect()
        writer.write(encode_request("/resumable/x", request_id=f"7f{number:04d}"))
        writers.append(writer)
    await _wait_until_full(gateway.pool.budget)
    response = await gateway.call("/stream/x", request_id="7fffff")
    assert response.status == 200 and response.complete
    for writer in writers:
        writer.close()
