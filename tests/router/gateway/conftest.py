"""Fixtures: a gateway without its process, and scripted servers."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import pytest
from tests.router.gateway.gateway_harness import Gateway
from tests.router.gateway.scripted_server import ScriptedServer

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from collections.abc import Awaitable
    from collections.abc import Callable

    from tests.router.gateway.scripted_server import Script


@pytest.fixture
async def gateway(free_address: Callable[[], str]) -> AsyncIterator[Gateway]:
    """Yield a listening gateway without configuration and servers."""
    gateway = Gateway(free_address())
    await gateway.listener.start()
    stall_checks = asyncio.create_task(gateway.run_stall_checks())
    yield gateway
    stall_checks.cancel()
    gateway.listener.stop_accepting()
    gateway.pool.close()


@pytest.fixture
async def start_server() -> AsyncIterator[Callable[[Script], Awaitable[ScriptedServer]]]:
    """Yield a function that starts scripted servers."""
    servers: list[ScriptedServer] = []

    async def start(script: Script) -> ScriptedServer:
        server = ScriptedServer(script)
        await server.start()
        servers.append(server)
        return server

    yield start
    for server in servers:
        server.stop()
