"""ASGI application of a router."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING
from typing import Any

import msgspec
from litestar import Litestar
from litestar import Request
from litestar import Response
from litestar import asgi

from cornellead.api._caller_connection import CallerConnection
from cornellead.api._caller_request import authenticate
from cornellead.errors import ApiError
from cornellead.errors import invalid_request_error
from cornellead_core.facts import CONFIG
from cornellead_core.facts import DRAINING

if TYPE_CHECKING:
    from litestar.types import ASGIApp
    from litestar.types import Receive
    from litestar.types import Scope
    from litestar.types import Send

    from cornellead.api._status_collector import StatusCollector
    from cornellead.limits import TeamLimiter
    from cornellead_core.blackboard import Blackboard
    from cornellead_core.metrics import Metrics

_JSON_HEADERS = [(b"content-type", b"application/json")]
_TEXT_HEADERS = [(b"content-type", b"text/plain; version=0.0.4; charset=utf-8")]
"""Plain text; the version parameter belongs to the Prometheus text format of ``/metrics``."""


class HttpApp:
    """Builds the ASGI application with its routes for callers and operators.

    The handlers are plain ASGI applications, so chunks of a stream skip the framework's response
    layers.
    """

    def __init__(
        self,
        *,
        chat: ASGIApp,
        services: ASGIApp,
        team_limiter: TeamLimiter,
        board: Blackboard,
        metrics: Metrics,
        status: StatusCollector,
    ) -> None:
        self._chat = chat
        self._services = services
        self._team_limiter = team_limiter
        self._board = board
        self._metrics = metrics
        self._status = status

    def build(self) -> Litestar:
        """Return the application with all routes."""
        return Litestar(
            route_handlers=[
                asgi("/v1/chat/completions", copy_scope=False)(_allow_method("POST", self._chat)),
                # Mounted, because the framework does not route paths with parameters to plain ASGI
                # handlers.
                asgi("/v1/services", is_mount=True, copy_scope=False)(
                    _allow_method("POST", self._services)
                ),
                asgi("/v1/models", copy_scope=False)(_allow_method("GET", self._serve_models)),
                asgi("/healthz", copy_scope=False)(_allow_method("GET", self._serve_health)),
                asgi("/readyz", copy_scope=False)(_allow_method("GET", self._serve_readiness)),
                asgi("/metrics", copy_scope=False)(_allow_method("GET", self._serve_metrics)),
                asgi("/status", copy_scope=False)(_allow_method("GET", self._serve_status)),
            ],
            exception_handlers={404: _handle_not_found},
            openapi_config=None,
            logging_config=None,
        )

    async def _serve_models(self, scope: Scope, receive: Receive, send: Send) -> None:
        conn = CallerConnection(scope=scope, receive=receive, send=send)
        team = authenticate(conn, self._board)
        if isinstance(team, ApiError):
            await conn.send_error(team, "")
            return
        models = [
            {"id": model, "object": "model", "created": 0, "owned_by": "fleet"}
            for model in sorted(team.models)
        ]
        await conn.respond(
            200, _JSON_HEADERS, msgspec.json.encode({"object": "list", "data": models})
        )

    async def _serve_health(self, scope: Scope, receive: Receive, send: Send) -> None:
        conn = CallerConnection(scope=scope, receive=receive, send=send)
        await conn.respond(200, _TEXT_HEADERS, b"ok\n")

    async def _serve_readiness(self, scope: Scope, receive: Receive, send: Send) -> None:
        conn = CallerConnection(scope=scope, receive=receive, send=send)
        if self._board.read(DRAINING):
            await conn.respond(503, _TEXT_HEADERS, b"stopping\n")
        elif self._board.read(CONFIG).offset < 0:
            await conn.respond(503, _TEXT_HEADERS, b"no configuration yet\n")
        elif not self._team_limiter.ready(now=asyncio.get_running_loop().time()):
            await conn.respond(503, _TEXT_HEADERS, b"no shares of the team limits yet\n")
        else:
            await conn.respond(200, _TEXT_HEADERS, b"ready\n")

    async def _serve_metrics(self, scope: Scope, receive: Receive, send: Send) -> None:
        conn = CallerConnection(scope=scope, receive=receive, send=send)
        await conn.respond(200, _TEXT_HEADERS, self._metrics.render())

    async def _serve_status(self, scope: Scope, receive: Receive, send: Send) -> None:
        conn = CallerConnection(scope=scope, receive=receive, send=send)
        body = self._status.collect(now=asyncio.get_running_loop().time())
        await conn.respond(200, _JSON_HEADERS, msgspec.json.encode(body))


def _handle_not_found(request: Request[Any, Any, Any], exc: Exception) -> Response[bytes]:
    error = invalid_request_error(
        "no such path; see the documentation of the API", status=404, code="not_found"
    )
    return Response(error.body(), status_code=404, media_type="application/json")


def _allow_method(method: str, app: ASGIApp) -> ASGIApp:
    async def serve(scope: Scope, receive: Receive, send: Send) -> None:
        if scope.get("method") == method:
            await app(scope, receive, send)
            return
        conn = CallerConnection(scope=scope, receive=receive, send=send)
        error = invalid_request_error(
            f"use {method} for this path", status=405, code="method_not_allowed"
        )
        await conn.send_error(error, "")

    return serve
