"""Fixtures for tests of the platform adapter."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import pytest
from tests.platform_adapter.fake_store import FakeStore

from cornellead.upstream import ConnectionPool
from cornellead.upstream import PooledHttpClient
from cornellead_platform import StoreClient

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from collections.abc import Callable


@pytest.fixture
async def store(free_address: Callable[[], str]) -> AsyncIterator[tuple[FakeStore, StoreClient]]:
    """Yield a running fake store and a client connected to it."""
    address = free_address()
    fake_store = FakeStore(address=address)
    await fake_store.start()
    pool = ConnectionPool(loop=asyncio.get_running_loop(), connect_timeout_s=0.4)
    client = StoreClient(address=address, http=PooledHttpClient(pool=pool))
    yield fake_store, client
    pool.close()
    fake_store.stop()
