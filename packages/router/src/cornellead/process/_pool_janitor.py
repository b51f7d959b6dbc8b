"""Closes idle connections to agents."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from cornellead.upstream import ConnectionPool

INTERVAL_S = 1.0


class PoolJanitor:
    """Closes connections before their server does."""

    name = "pool-janitor"

    def __init__(self, *, pool: ConnectionPool) -> None:
        self._pool = pool

    async def run(self) -> None:
        """Close idle connections until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(INTERVAL_S)
            self._pool.close_idle(now=loop.time())
