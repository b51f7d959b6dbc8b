"""Timers that are due while the event loop is busy."""

from __future__ import annotations

import asyncio
import socket
import time

import pytest

from cornellead_core.pacing import ArrivalTimeout
from cornellead_core.pacing import ArrivalTimer

TIMEOUT_S = 0.05
BUSY_S = 0.15


def _block_the_loop() -> None:
    time.sleep(BUSY_S)


async def _open_connection(address: tuple[str, int]) -> None:
    _, writer = await asyncio.open_connection(*address)
    writer.close()


async def test_connection_that_is_open_in_time_survives_a_busy_loop() -> None:
    """Guards against sound servers that count as unreachable while this process is busy."""
    with socket.create_server(("127.0.0.1", 0)) as server:
        address = server.getsockname()
        async with ArrivalTimeout(delay_s=TIMEOUT_S):
            asyncio.get_running_loop().call_soon(_block_the_loop)
            await _open_connection(address)


async def test_answer_that_arrived_in_time_survives_a_busy_loop() -> None:
    """Guards against answers that are there and count as late (issue 38)."""
    left, right = socket.socketpair()
    reader, writer = await asyncio.open_connection(sock=left)
    right.sendall(b"answer")
    loop = asyncio.get_running_loop()
    loop.call_soon(_block_the_loop)
    async with ArrivalTimeout(delay_s=TIMEOUT_S):
        assert await reader.read(100) == b"answer"
    writer.close()
    right.close()


async def test_timeout_without_an_arrival_is_raised() -> None:
    """Guards against waits without an end."""
    begin = time.monotonic()
    with pytest.raises(TimeoutError):
        async with ArrivalTimeout(delay_s=TIMEOUT_S) as timeout:
            await asyncio.sleep(10.0)
    assert timeout.expired() and time.monotonic() - begin < 1.0


async def test_expired_timeout_ends_at_once() -> None:
    """Guards against a stop that waits for the time limit of each request."""
    timeout = ArrivalTimeout(delay_s=30.0)
    asyncio.get_running_loop().call_later(0.01, timeout.expire)
    with pytest.raises(TimeoutError):
        async with timeout:
            await asyncio.sleep(10.0)


async def test_cancellation_from_outside_is_no_timeout() -> None:
    """Guards against a caller that left being taken for a time limit that passed."""

    async def wait() -> None:
        async with ArrivalTimeout(delay_s=5.0):
            await asyncio.sleep(10.0)

    task = asyncio.create_task(wait())
    await asyncio.sleep(0.01)
    task.cancel()
    with pytest.raises(asyncio.CancelledError):
        await task


@pytest.mark.parametrize("turns", range(7))
async def test_cancelled_timer_does_not_act(turns: int) -> None:
    """Guards against a connection that is closed as idle after its next request has begun."""
    acted: list[bool] = []
    loop = asyncio.get_running_loop()
    timer = ArrivalTimer(loop=loop, delay_s=0.0, action=lambda: acted.append(True))
    for _ in range(turns):
        await asyncio.sleep(0)
    if not acted:
        timer.cancel()
        await asyncio.sleep(0.02)
        assert not acted
