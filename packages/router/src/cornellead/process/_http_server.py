"""The HTTP listener."""

from __future__ import annotations

import contextlib
from typing import TYPE_CHECKING

import uvicorn

if TYPE_CHECKING:
    from collections.abc import Iterator

    from litestar.types import ASGIApp

KEEP_ALIVE_S = 75
"""Longer than the idle timeouts of common balancers, so that the balancer closes first."""


class HttpServer(uvicorn.Server):
    """Serves the application; the process, not the server, handles signals.

    :param address: ``ip:port`` to listen on.
    """

    def __init__(self, *, app: ASGIApp, address: str) -> None:
        host, _, port = address.rpartition(":")
        super().__init__(
            uvicorn.Config(
                app,
                host=host,
                port=int(port),
                loop="asyncio",
                http="httptools",
                ws="none",
                lifespan="off",
                access_log=False,
                log_config=None,
                server_header=False,
                date_header=False,
                timeout_keep_alive=KEEP_ALIVE_S,
            )
        )

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        """Leave signals to the process."""
        yield
