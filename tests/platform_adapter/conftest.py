"""Fixtures for tests of the platform adapter."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import pytest
from tests.platform_adapter.store_standin import StoreStandin

from cornellead.upstream import ConnectionPool
from cornellead.upstream import PooledCaller
from cornellead_platform import StoreClient

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from collections.abc import Callable


@pytest.fixture
async def store(free_address: Callable[[], str]) -> AsyncIterator[tuple[StoreStandin, StoreClient]]:
    """Yield a running fake store and a client connected to it."""
    address = free_address()
    standin = StoreStandin(address=address)
    await standin.start()
    pool = ConnectionPool(loop=asyncio.get_running_loop(), connect_timeout_s=0.4)
    client = StoreClient(address=address, http=PooledCaller(pool=pool))
    yield standin, client
    pool.close()
    standin.stop()
