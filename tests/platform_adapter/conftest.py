"""A store for tests of the adapter."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest
from tests.platform_adapter.store_standin import StoreStandin

from cornellead_platform.store import StoreClient

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from collections.abc import Callable


@pytest.fixture
async def store(free_address: Callable[[], str]) -> AsyncIterator[tuple[StoreStandin, StoreClient]]:
    """Yield a running store and a client of it."""
    address = free_address()
    standin = StoreStandin(address=address)
    await standin.start()
    client = StoreClient(address=address)
    yield standin, client
    await client.close()
    standin.stop()
