"""HTTP server for callers and operators."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cornellead_core import serving

if TYPE_CHECKING:
    from litestar.types import ASGIApp

KEEP_ALIVE_TIMEOUT_S = 75
"""Exceeds the idle timeouts of common load balancers, so that the load balancer closes a connection
first and never sends a request on one that is being closed here."""


class HttpServer(serving.HttpServer):
    """HTTP listener of a router.

    :param address: ``ip:port`` to listen on.
    :param serving: Bounds on callers, and their counters.
    """

    def __init__(self, *, app: ASGIApp, address: str, serving: serving.HttpServing) -> None:
        super().__init__(
            app=app,
            address=address,
            serving=serving,
            log_config=None,
            server_header=False,
            date_header=False,
            timeout_keep_alive=KEEP_ALIVE_TIMEOUT_S,
        )
