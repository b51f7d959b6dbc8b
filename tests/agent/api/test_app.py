"""Routes of the agent's HTTP application."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

import httpx
import pytest
from tests.agent.harness import KEY
from tests.agent.harness import REQUEST_ID

from cornellead_agent.api import AgentMetrics
from cornellead_agent.api import CacheEndpoint
from cornellead_agent.api import RouterRequestHandler
from cornellead_agent.api import ServiceEndpoint
from cornellead_agent.api import StatusView
from cornellead_agent.api import build_app
from cornellead_agent.facts import SERVER
from cornellead_agent.facts import ServerView
from cornellead_agent.services import ServiceRequest
from cornellead_agent.services import ServiceResponse
from cornellead_core.metrics import Metrics
from cornellead_core.settings import AgentSettings
from cornellead_core.settings import ProcessSettings
from cornellead_core.settings import ServerSettings
from cornellead_core.wire import Traffic

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from tests.agent.harness import Harness
    from tests.agent.harness import ScriptedEngine


class RecordingHandler:
    """Service handler that records calls and returns the same response to all of them."""

    def __init__(self) -> None:
        self.requests: list[ServiceRequest] = []

    async def handle(self, request: ServiceRequest) -> ServiceResponse:
        """Record a call and return the fixed response."""
        self.requests.append(request)
        return ServiceResponse(200, [("content-type", "text/plain")], b"held")


class AgentApp:
    """The agent's HTTP application and a client that calls it without a socket."""

    def __init__(self, harness: Harness) -> None:
        self.harness = harness
        self.handler = RecordingHandler()
        settings = AgentSettings(
            ProcessSettings("m0", "r", "dc0", "", "", "", "k" * 16), ServerSettings("")
        )
        request_handler = RouterRequestHandler(
            key=KEY,
            board=harness.board,
            table=harness.table,
            admission=harness.admission,
            clock=harness.clock,
        )
        service = ServiceEndpoint(
            service="booking",
            request_handler=request_handler,
            board=harness.board,
            admission=harness.admission,
            cold_limit=harness.cold_limit,
            handler=self.handler,  # type: ignore[arg-type]
            clock=harness.clock,
        )
        cache = CacheEndpoint(
            request_handler=request_handler,
            admission=harness.admission,
            chats=harness.chats,
            client=harness.client,
            clock=harness.clock,
        )
        status = StatusView(
            settings=settings,
            board=harness.board,
            admission=harness.admission,
            cold_limit=harness.cold_limit,
            chats=harness.chats,
            counters=harness.counters,
            traffic=Traffic(),
            clock=harness.clock,
        )
        app: Any = build_app(
            chat=harness.endpoint,
            service=service,
            cache=cache,
            status=status,
            admission=harness.admission,
            metrics=AgentMetrics(metrics=Metrics(), status=status),
        )
        transport = httpx.ASGITransport(app=app)
        self.client = httpx.AsyncClient(transport=transport, base_url="http://agent")

    async def call(
        self, method: str, path: str, body: bytes = b"{}", **extra_headers: str
    ) -> httpx.Response:
        """Send a request signed with the fleet key, as routers do."""
        token = KEY.sign_request(
            now_ms=self.harness.clock.unix_ms(), method=method, path=path, request_id=REQUEST_ID
        )
        headers = {name.replace("_", "-"): value for name, value in extra_headers.items()}
        headers |= {"x-cl-request": REQUEST_ID, "x-cl-auth": token}
        return await self.client.request(method, path, headers=headers, content=body)


@pytest.fixture
async def app(harness: Harness) -> AsyncIterator[AgentApp]:
    """Yield the application with its client."""
    built = AgentApp(harness)
    yield built
    await built.client.aclose()


async def test_service_call_reaches_the_handler(app: AgentApp) -> None:
    """Guards against a mount that changes the signed path or the operation name."""
    resp = await app.call(
        "POST",
        "/v1/services/booking/hold",
        idempotency_key="k1",
        x_cl_deadline_ms="1500",
        x_cl_team="t",
    )
    assert (resp.status_code, resp.content) == (200, b"held")
    (request,) = app.handler.requests
    assert (request.operation, request.key, request.team) == ("hold", "k1", "t")
    assert request.deadline_s == pytest.approx(1.5)
    # The configuration does not list the operation as idempotent.
    assert request.at_most_once


async def test_call_to_another_service_is_rejected(app: AgentApp) -> None:
    """Guards against a stale host list that sends a call to a server of another service."""
    resp = await app.call("POST", "/v1/services/orders/place")
    assert resp.status_code == 404
    assert app.handler.requests == []


async def test_imported_cache_is_added_to_the_chat_index(
    app: AgentApp, engine: ScriptedEngine
) -> None:
    """Guards against an imported cache that the next turn of the chat does not find."""
    engine.prepare_response(b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}")
    resp = await app.call("PUT", "/v1/kv/00000000000000ab", x_cl_chat="ab")
    assert resp.status_code == 200
    assert app.harness.chats.holds(0xAB)
    assert engine.requests[0].startswith(b"PUT /kv/00000000000000ab ")


async def test_health_routes_reflect_the_server_state(app: AgentApp) -> None:
    """Guards against an agent that reports ready while it refuses all requests."""
    assert (await app.client.get("/healthz")).status_code == 200
    assert (await app.client.get("/readyz")).status_code == 200
    app.harness.board.write(SERVER, ServerView(up=False))
    assert (await app.client.get("/readyz")).status_code == 503
    status = (await app.client.get("/status")).json()
    assert (status["state"], status["load"], status["capacity"]) == ("down", 0, 16)
    assert "cornellead_admissions_total 0.0" in (await app.client.get("/metrics")).text


async def test_chat_request_with_deeply_nested_fields_is_rejected(app: AgentApp) -> None:
    """Guards against status 500, which leaves open whether the request ran."""
    body = b'{"model": "m", "x": ' + b"[" * 100_000 + b"]" * 100_000 + b"}"
    resp = await app.call("POST", "/v1/chat/completions", body)
    assert resp.status_code == 400 and "not_run" in resp.text
