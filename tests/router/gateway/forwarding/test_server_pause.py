"""Servers that turn requests away and ask for a pause."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

import pytest
from tests.router.gateway.builders import make_entry

from cornellead.gateway.policy import MAX_PAUSE_S

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    from tests.router.gateway.gateway_harness import Gateway
    from tests.router.gateway.scripted_server import Script
    from tests.router.gateway.scripted_server import ScriptedExchange
    from tests.router.gateway.scripted_server import ScriptedServer

    StartServer = Callable[[Script], Awaitable[ScriptedServer]]


class PausingServer:
    """Asks for a pause once and records when requests arrive."""

    def __init__(self, retry_after: str) -> None:
        self.retry_after = retry_after
        self.arrivals: list[float] = []

    async def respond(self, exchange: ScriptedExchange) -> None:
        self.arrivals.append(time.monotonic())
        if len(self.arrivals) > 1:
            await exchange.send(exchange.sealed_response(200, b"body"))
            return
        lines = ("X-Not-Executed: busy", f"Retry-After: {self.retry_after}")
        await exchange.send(exchange.response(503, *lines))


async def _respond(exchange: ScriptedExchange) -> None:
    await exchange.send(exchange.sealed_response(200, b"body"))


async def test_server_gets_nothing_during_the_pause_it_asked_for(
    gateway: Gateway, start_server: StartServer
) -> None:
    """Guards against requests that press a server which asked for a pause, with none beside it."""
    pausing = PausingServer("1.5")
    gateway.configure(await start_server(pausing.respond))
    statuses: list[tuple[int, bool]] = []
    while not pausing.arrivals or time.monotonic() < pausing.arrivals[0] + 1.4:
        response = await gateway.call("/unsafe/1", request_id=f"7f{len(statuses):02d}")
        statuses.append((response.status, "retry-after" in response.head.lower()))
        await asyncio.sleep(0.05)
    assert len(pausing.arrivals) == 1
    assert set(statuses) == {(503, True)}


async def test_callers_are_rejected_at_once_with_a_spread_return_during_a_pause(
    gateway: Gateway, start_server: StartServer
) -> None:
    """Guards against callers that wait in vain, return too early or all at the same moment."""
    pausing = PausingServer("0.4")
    gateway.configure(await start_server(pausing.respond))
    await gateway.call("/unsafe/1")
    started_at = time.monotonic()
    responses = [await gateway.call("/unsafe/1", request_id=f"{n}") for n in range(8)]
    elapsed_s = time.monotonic() - started_at
    assert elapsed_s < 0.3
    assert {response.status for response in responses} == {503}
    returns = [float(r.head.lower().split("retry-after: ")[1].split()[0]) for r in responses]
    assert min(returns) >= 0.4 - elapsed_s - 0.05
    assert max(returns) - min(returns) > 0.05


async def test_other_servers_take_over_during_a_pause(
    gateway: Gateway, start_server: StartServer
) -> None:
    """Guards against callers that are rejected although another server has room."""
    pausing = PausingServer("30")
    first, sound = await start_server(pausing.respond), await start_server(_respond)
    gateway.configure(first)
    await gateway.call("/unsafe/1")
    gateway.view.servers.put(make_entry("s1", address=sound.address), now=time.monotonic())
    responses = await asyncio.gather(*(gateway.call("/unsafe/1") for _ in range(20)))
    assert {response.status for response in responses} == {200}
    assert len(pausing.arrivals) == 1


async def test_requests_return_gradually_after_a_pause(
    gateway: Gateway, start_server: StartServer
) -> None:
    """Guards against a server that gets all its requests back at the moment its pause ends."""
    pausing = PausingServer("0.3")
    first, sound = await start_server(pausing.respond), await start_server(_respond)
    gateway.configure(first)
    await gateway.call("/unsafe/1")
    gateway.view.servers.put(make_entry("s1", address=sound.address), now=time.monotonic())
    state = gateway.view.servers.get("s0")
    assert state is not None
    shares = []
    for after_s in (0.05, 2.0):
        await asyncio.sleep(max(0.0, state.paused_until + after_s - time.monotonic()))
        for listed in gateway.view.servers.states():
            # One slow call of a busy test machine must not decide between the servers.
            listed.health.latency_s = 0.01
        before = len(pausing.arrivals)
        calls = [gateway.call("/unsafe/1", request_id=f"{after_s}-{n}") for n in range(40)]
        await asyncio.gather(*calls)
        shares.append((len(pausing.arrivals) - before) / 40)
    assert shares[0] <= 0.15 < shares[1]


async def test_pause_is_no_sign_of_a_failing_server(
    gateway: Gateway, start_server: StartServer
) -> None:
    """Guards against a sound server that is avoided after its pause, as one that fails."""
    pausing = PausingServer("0.1")
    gateway.configure(await start_server(pausing.respond))
    await gateway.call("/unsafe/1")
    state = gateway.view.servers.get("s0")
    assert state is not None and state.health.success_rate(now=time.monotonic()) == 1.0


async def test_pause_ends_with_the_incarnation_that_asked_for_it(
    gateway: Gateway, start_server: StartServer
) -> None:
    """Guards against a restarted server, or one at the same address, that is kept idle."""
    pausing = PausingServer("30")
    server = await start_server(pausing.respond)
    gateway.configure(server)
    await gateway.call("/unsafe/1")
    entry = make_entry("s0", address=server.address, started_ms=2)
    gateway.view.servers.put(entry, now=time.monotonic())
    assert (await gateway.call("/unsafe/1")).status == 200


@pytest.mark.parametrize(
    ("retry_after", "pause_s"),
    [("0.25", 0.25), ("0", 0.0), ("86400", MAX_PAUSE_S), ("1e300", MAX_PAUSE_S)],
)
async def test_pause_is_bounded(
    gateway: Gateway, start_server: StartServer, retry_after: str, pause_s: float
) -> None:
    """Guards against a server that is lost for good by one value."""
    before = time.monotonic()
    paused_until = await _pause(gateway, start_server, retry_after)
    assert before + pause_s <= paused_until <= time.monotonic() + pause_s


@pytest.mark.parametrize(
    "retry_after", ["9" * 400, "-1", "nan", "inf", "soon", "", "Sat, 05 Dec 2026 12:00:00 GMT"]
)
async def test_unusable_retry_after_asks_for_no_pause(
    gateway: Gateway, start_server: StartServer, retry_after: str
) -> None:
    """Guards against an error, or a pause without end, by a value that is not a time."""
    assert await _pause(gateway, start_server, retry_after) == 0.0


async def _pause(gateway: Gateway, start_server: StartServer, retry_after: str) -> float:
    """Return until when a server is paused that asks for a pause."""
    gateway.configure(await start_server(PausingServer(retry_after).respond))
    await gateway.call("/unsafe/1")
    state = gateway.view.servers.get("s0")
    assert state is not None
    return state.paused_until


async def test_retry_after_of_another_status_asks_for_no_pause(
    gateway: Gateway, start_server: StartServer
) -> None:
    """Guards against a pause after a response that turned no request away."""

    async def script(exchange: ScriptedExchange) -> None:
        await exchange.send(exchange.sealed_response(200, b"body", "Retry-After: 30"))

    server = await start_server(script)
    gateway.configure(server)
    statuses = [(await gateway.call("/unsafe/1")).status for _ in range(3)]
    assert statuses == [200, 200, 200]
