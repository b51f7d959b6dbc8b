"""Calls to a plain service for routers."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

from returns.result import Success

from cornellead_agent.api._body import read_body
from cornellead_agent.api._request_context import read_headers
from cornellead_agent.api._responses import send_error
from cornellead_agent.api._responses import send_refusal
from cornellead_agent.api._responses import send_whole
from cornellead_core import headers
from cornellead_core.outcomes import Outcome

if TYPE_CHECKING:
    from cornellead_agent.admission import ColdLimit
    from cornellead_agent.admission import Gate
    from cornellead_agent.api._clock import Clock
    from cornellead_agent.api._endpoint import Endpoint
    from cornellead_agent.relay import EngineClient

DEFAULT_TIMEOUT_S = 30.0


class ServiceEndpoint:
    """Raw ASGI handler of ``POST /v1/services/{service}/{operation}``."""

    def __init__(
        self,
        *,
        endpoint: Endpoint,
        gate: Gate,
        cold_limit: ColdLimit,
        client: EngineClient,
        clock: Clock,
    ) -> None:
        self._endpoint = endpoint
        self._gate = gate
        self._cold_limit = cold_limit
        self._client = client
        self._clock = clock

    async def handle(self, scope: Any, receive: Any, send: Any) -> None:
        """Admit and forward one call."""
        context = await self._endpoint.accept(scope, send)
        if context is None:
            return
        content = await read_body(receive)
        if not isinstance(content, Success):
            error = content.failure()
            fields = self._endpoint.common_headers(context)
            await send_error(
                send,
                error.status,
                fields,
                message=error.message,
                code="bad_request",
                outcome=Outcome.NOT_RUN,
            )
            return
        now = self._clock.monotonic()
        refusal = self._gate.admit(context.admission, chat=None, now=now)
        if refusal is not None:
            await send_refusal(send, refusal, self._endpoint.common_headers(context))
            return
        try:
            await self._forward(scope, send, context, content.unwrap())
        finally:
            self._gate.finish(duration_s=self._clock.monotonic() - now)

    async def _forward(self, scope: Any, send: Any, context: Any, body: bytes) -> None:
        operation = scope["path"].rsplit("/", 1)[-1]
        fields = read_headers(scope)
        upstream = [("x-request-id", context.request_id), ("content-type", "application/json")]
        if "idempotency-key" in fields:
            upstream.append(("idempotency-key", fields["idempotency-key"]))
        started_at = self._clock.monotonic()
        fetched = await self._client.fetch(
            "POST",
            f"/v1/{operation}",
            headers=upstream,
            body=body,
            timeout_s=context.remaining_s or DEFAULT_TIMEOUT_S,
        )
        common = self._endpoint.common_headers(context)
        if not isinstance(fetched, Success):
            self._cold_limit.record_error()
            failure = fetched.failure()
            if not failure.sent:
                common.append((headers.REFUSAL, "server_down"))
            await send_error(
                send,
                502 if failure.sent else 503,
                common,
                message=failure.message,
                code="service_failed",
                outcome=Outcome.UNKNOWN if failure.sent else Outcome.NOT_RUN,
            )
            return
        response = fetched.unwrap()
        self._cold_limit.record_success(first_token_s=self._clock.monotonic() - started_at)
        content_type = response.headers.get("content-type", "application/json")
        await send_whole(
            send, response.status, [*common, ("content-type", content_type)], response.body
        )
