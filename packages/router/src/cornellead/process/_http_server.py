"""HTTP server for callers and operators."""

from __future__ import annotations

import contextlib
from typing import TYPE_CHECKING

import uvicorn

from cornellead.process._http_protocol import HttpProtocol

if TYPE_CHECKING:
    from collections.abc import Iterator

    from litestar.types import ASGIApp

    from cornellead_core.pacing import ReadPacer

KEEP_ALIVE_TIMEOUT_S = 75
"""Exceeds the idle timeouts of common load balancers, so that the load balancer closes a connection
first and never sends a request on one that is being closed here."""


class HttpServer(uvicorn.Server):
    """Runs the application on uvicorn, without uvicorn's signal handlers.

    :param address: ``ip:port`` to listen on.
    :param pacer: Shares the reads of the process among peers.
    """

    def __init__(self, *, app: ASGIApp, address: str, pacer: ReadPacer) -> None:
        host, _, port = address.rpartition(":")
        super().__init__(
            uvicorn.Config(
                app,
                host=host,
                port=int(port),
                loop="asyncio",
                http=HttpProtocol.paced_by(pacer),
                ws="none",
                lifespan="off",
                access_log=False,
                log_config=None,
                server_header=False,
                date_header=False,
                timeout_keep_alive=KEEP_ALIVE_TIMEOUT_S,
            )
        )

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        """Install no signal handlers, because the router process has its own."""
        yield
