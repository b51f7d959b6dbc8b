"""The agent's HTTP application."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

from litestar import Litestar
from litestar import Response
from litestar import get
from litestar.handlers import asgi

if TYPE_CHECKING:
    from litestar.types import Receive
    from litestar.types import Scope
    from litestar.types import Send

    from cornellead_agent.admission import AdmissionController
    from cornellead_agent.api._agent_metrics import AgentMetrics
    from cornellead_agent.api._cache_endpoint import CacheEndpoint
    from cornellead_agent.api._chat_endpoint import ChatEndpoint
    from cornellead_agent.api._service_endpoint import ServiceEndpoint
    from cornellead_agent.api._status_view import StatusView


def build_app(
    *,
    chat: ChatEndpoint,
    service: ServiceEndpoint,
    cache: CacheEndpoint,
    status: StatusView,
    admission: AdmissionController,
    metrics: AgentMetrics,
) -> Litestar:
    """Build the application: endpoints for routers, health checks, status and metrics.

    Endpoints for routers are raw ASGI handlers, which read the body and send the response on their
    own.
    """

    @asgi("/v1/chat/completions", copy_scope=False)
    async def post_chat(scope: Scope, receive: Receive, send: Send) -> None:
        await chat.handle(scope, receive, send)

    @asgi("/v1/services", is_mount=True, copy_scope=False)
    async def post_service(scope: Scope, receive: Receive, send: Send) -> None:
        await service.handle(scope, receive, send)

    @asgi("/v1/kv", is_mount=True, copy_scope=False)
    async def put_cache(scope: Scope, receive: Receive, send: Send) -> None:
        await cache.handle(scope, receive, send)

    @get("/healthz", sync_to_thread=False)
    def get_healthz() -> dict[str, str]:
        return {"status": "ok"}

    @get("/readyz", sync_to_thread=False)
    def get_readyz() -> Response[dict[str, str]]:
        state = admission.state.value
        return Response({"status": state}, status_code=200 if state == "serving" else 503)

    @get("/status", sync_to_thread=False)
    def get_status() -> dict[str, Any]:
        return status.collect()

    @get("/metrics", sync_to_thread=False, media_type="text/plain; version=0.0.4")
    def get_metrics() -> bytes:
        return metrics.render()

    return Litestar(
        route_handlers=[
            post_chat,
            post_service,
            put_cache,
            get_healthz,
            get_readyz,
            get_status,
            get_metrics,
        ],
        openapi_config=None,
        logging_config=None,
    )
