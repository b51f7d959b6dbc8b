"""Check whether a process still listens, over real sockets."""

from __future__ import annotations

import asyncio
import contextlib
import os
import signal
import socket
import sys
from functools import partial
from typing import TYPE_CHECKING

import pytest

from cornellead_core.close_delimited import CHECK_TIMEOUT_S
from cornellead_core.close_delimited import CLOSE_PROOF_S
from cornellead_core.close_delimited import ListenerState
from cornellead_core.close_delimited import check_listener
from cornellead_core.close_delimited import open_probe

if TYPE_CHECKING:
    from collections.abc import Callable

    from cornellead_core.close_delimited import ProbeConnection

KILLED_SERVER = """
import asyncio, sys

async def main():
    server = await asyncio.start_server(lambda reader, writer: None, "127.0.0.1", int(sys.argv[1]))
    print("listening", flush=True)
    await server.serve_forever()

asyncio.run(main())
"""
CONNECTIONS = 200


def _listen(backlog: int = 100) -> tuple[socket.socket, int]:
    sock = socket.create_server(("127.0.0.1", 0), backlog=backlog)
    return sock, sock.getsockname()[1]


async def _check(port: int, host: str = "127.0.0.1") -> ListenerState:
    return await check_listener(partial(open_probe, host, port))


async def test_process_that_accepts_nothing_yet_counts_as_listening() -> None:
    """Guards against a busy server that is taken for one that has ended."""
    sock, port = _listen()
    with sock:
        assert await _check(port) is ListenerState.LISTENING


@pytest.mark.parametrize("host", ["127.0.0.1", "localhost"])
async def test_refused_connection_shows_that_nobody_listens(host: str) -> None:
    """Guards against a name with several addresses whose refusals are not recognised."""
    sock, port = _listen()
    sock.close()
    assert await _check(port, host) is ListenerState.CLOSED


async def test_listening_socket_that_closes_a_moment_later_is_noticed() -> None:
    """Guards against a killed process that counts as alive since the kernel still accepts
    connections for it."""
    sock, port = _listen()
    asyncio.get_running_loop().call_later(CLOSE_PROOF_S / 2, sock.close)
    assert await _check(port) is ListenerState.CLOSED


async def test_connections_that_are_closed_at_once_prove_nothing() -> None:
    """Guards against a server with too many connections that is taken for one that has ended."""

    def refuse(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        writer.transport.abort()

    server = await asyncio.start_server(refuse, "127.0.0.1", 0)
    async with server:
        port = server.sockets[0].getsockname()[1]
        assert await _check(port) is ListenerState.UNKNOWN


async def test_connection_that_is_not_answered_proves_nothing() -> None:
    """Guards against a server with a full accept queue that is taken for one that has ended, and
    against responses that wait for it."""
    loop = asyncio.get_running_loop()
    started_at = loop.time()

    async def hang() -> ProbeConnection:
        await asyncio.sleep(10.0)
        raise AssertionError

    assert await check_listener(hang) is ListenerState.UNKNOWN
    assert loop.time() - started_at < 2 * CHECK_TIMEOUT_S


async def test_unreachable_host_proves_nothing() -> None:
    """Guards against a link that is down and is taken for a server that has ended."""

    async def fail() -> ProbeConnection:
        raise OSError("no route to host")

    assert await check_listener(fail) is ListenerState.UNKNOWN


@pytest.mark.processes
@pytest.mark.parametrize("run", range(5))
async def test_killed_process_is_noticed_by_each_of_its_connections(
    free_address: Callable[[], str], run: int
) -> None:
    """Guards against a process that still seems to listen while the kernel closes its sockets."""
    host, _, port = free_address().rpartition(":")
    process = await asyncio.create_subprocess_exec(
        sys.executable, "-c", KILLED_SERVER, port, stdout=asyncio.subprocess.PIPE
    )
    assert process.stdout is not None
    await process.stdout.readline()
    opened = [await asyncio.open_connection(host, int(port)) for _ in range(CONNECTIONS)]

    async def check_at_end(reader: asyncio.StreamReader) -> ListenerState:
        with contextlib.suppress(ConnectionError):
            await reader.read()
        return await _check(int(port))

    checks = [asyncio.create_task(check_at_end(reader)) for reader, _ in opened]
    await asyncio.sleep(0.05 + 0.01 * run)
    os.kill(process.pid, signal.SIGKILL)
    states = await asyncio.gather(*checks)
    await process.wait()
    for _, writer in opened:
        writer.transport.abort()
    assert set(states) == {ListenerState.CLOSED}
