"""Hosts that were suspended while a gateway had pooled connections and requests in progress."""

from __future__ import annotations

import asyncio
import time

import pytest
from tests.router.gateway.scripted_server import ScriptedExchange
from tests.router.gateway.scripted_server import ScriptedServer

from cornellead.gateway.process import BootClockLoop
from cornellead.upstream import ConnectionPool

REQUEST = b"GET / HTTP/1.1\r\nHost: x\r\n\r\n"


class SuspendableClock:
    """Clock of a host; a suspension lets it jump."""

    def __init__(self) -> None:
        self.suspended_s = 0.0

    def __call__(self) -> float:
        return time.monotonic() + self.suspended_s


async def _respond(exchange: ScriptedExchange) -> None:
    await exchange.send(exchange.sealed_response(200, b"ok"))


@pytest.mark.parametrize(("suspended_s", "connections"), [(0.0, 1), (2.0, 2)])
def test_pooled_connection_ages_while_the_host_is_suspended(
    suspended_s: float, connections: int
) -> None:
    """Guards against a payment on a connection that its server closed during a suspension, so that
    nobody knows whether it ran."""
    clock = SuspendableClock()

    async def send_twice() -> int:
        server = ScriptedServer(_respond)
        await server.start()
        pool = ConnectionPool(loop=asyncio.get_running_loop())
        for _ in range(2):
            exchange = (await pool.send(server.address, REQUEST, b"", max_idle_s=0.5)).unwrap()
            assert await exchange.read_all(limit=100) == b"ok"
            await asyncio.sleep(0.01)
            clock.suspended_s = suspended_s
        pool.close()
        server.stop()
        return pool.opened

    with asyncio.Runner(loop_factory=lambda: BootClockLoop(clock=clock)) as runner:
        assert runner.run(send_twice()) == connections


def test_timeout_includes_a_suspension() -> None:
    """Guards against requests that are held past their deadline after a suspension."""
    clock = SuspendableClock()

    async def wait() -> None:
        asyncio.get_running_loop().call_soon(setattr, clock, "suspended_s", 30.0)
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(20.0):
                for _ in range(100):
                    await asyncio.sleep(0.01)

    with asyncio.Runner(loop_factory=lambda: BootClockLoop(clock=clock)) as runner:
        runner.run(wait())


def test_default_clock_counts_from_boot() -> None:
    """Guards against a loop whose clock differs from that of the requests."""
    loop = BootClockLoop()
    assert abs(loop.time() - time.clock_gettime(time.CLOCK_BOOTTIME)) < 0.5
    loop.close()
