"""HTTP listener of routers and agents."""

from __future__ import annotations

import contextlib
from typing import TYPE_CHECKING
from typing import Any

import uvicorn

from cornellead_core.connections import ACCEPTS_PER_TURN
from cornellead_core.connections import lengthen_accept_queue

if TYPE_CHECKING:
    import socket
    from collections.abc import Iterator

    from litestar.types import ASGIApp

    from cornellead_core.serving._http_serving import HttpServing

BACKLOG = 1024
"""Length of the accept queue."""


class HttpServer(uvicorn.Server):
    """Runs an application on uvicorn with bounds on its callers, without signal handlers.

    :param address: ``ip:port`` to listen on.
    :param serving: Bounds on callers, and their counters.
    :param options: Further settings of uvicorn.
    """

    def __init__(self, *, app: ASGIApp, address: str, serving: HttpServing, **options: Any) -> None:
        host, _, port = address.rpartition(":")
        super().__init__(
            uvicorn.Config(
                app,
                host=host,
                port=int(port),
                loop="asyncio",
                http=serving.protocol,
                ws="none",
                lifespan="off",
                access_log=False,
                backlog=ACCEPTS_PER_TURN,
                **options,
            )
        )

    async def startup(self, sockets: list[socket.socket] | None = None) -> None:
        """Listen; called by uvicorn."""
        await super().startup(sockets)
        for server in self.servers:
            lengthen_accept_queue(server, BACKLOG)

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        """Install no signal handlers, because the process has its own."""
        yield
