"""Background task that closes idle connections to agents."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from cornellead.upstream import ConnectionPool

CHECK_INTERVAL_S = 1.0


class IdleConnectionCloser:
    """Closes idle connections before the agent does.

    Otherwise a request could be sent on a connection that the agent is about to close.
    """

    name = "pool-janitor"

    def __init__(self, *, pool: ConnectionPool) -> None:
        self._pool = pool

    async def run(self) -> None:
        """Close idle connections once per interval until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            self._pool.close_idle(now=loop.time())
