"""Calls to a plain service for routers."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING
from typing import Any

from returns.result import Success

from cornellead_agent.api._body import read_body
from cornellead_agent.api._request_context import read_headers
from cornellead_agent.api._request_context import read_path
from cornellead_agent.api._responses import send_error
from cornellead_agent.api._responses import send_refusal
from cornellead_agent.api._responses import send_whole
from cornellead_agent.services import ServiceRequest
from cornellead_core.facts import CONFIG
from cornellead_core.outcomes import Outcome
from cornellead_core.outcomes import Refusal
from cornellead_core.outcomes import RefusalReason

if TYPE_CHECKING:
    from cornellead_agent.admission import ColdLimit
    from cornellead_agent.admission import Gate
    from cornellead_agent.api._clock import Clock
    from cornellead_agent.api._endpoint import Endpoint
    from cornellead_agent.api._request_context import RequestContext
    from cornellead_agent.services import ServiceHandler
    from cornellead_agent.services import ServiceResponse
    from cornellead_core.blackboard import Blackboard

DEFAULT_TIMEOUT_S = 30.0
SERVER_ERROR = 500


class ServiceEndpoint:
    """Raw ASGI handler of ``POST /v1/services/{service}/{operation}``.

    :param handler: Runs the calls; ``None`` beside a model engine.
    """

    def __init__(
        self,
        *,
        endpoint: Endpoint,
        gate: Gate,
        board: Blackboard,
        cold_limit: ColdLimit,
        handler: ServiceHandler | None,
        clock: Clock,
    ) -> None:
        self._endpoint = endpoint
        self._gate = gate
        self._board = board
        self._cold_limit = cold_limit
        self._handler = handler
        self._clock = clock

    async def handle(self, scope: Any, receive: Any, send: Any) -> None:
        """Admit and run one call."""
        context = await self._endpoint.accept(scope, send)
        if context is None:
            return
        content = await read_body(receive)
        if not isinstance(content, Success):
            error = content.failure()
            await send_error(
                send,
                error.status,
                self._endpoint.common_headers(context),
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
            await self._run(scope, send, context, content.unwrap())
        finally:
            self._gate.finish(duration_s=self._clock.monotonic() - now)

    async def _run(self, scope: Any, send: Any, context: RequestContext, body: bytes) -> None:
        service, operation = read_path(scope).rsplit("/", 2)[-2:]
        request = self._make_request(read_headers(scope), context, service, operation, body)
        if self._handler is None or request is None:
            refusal = Refusal(
                RefusalReason.UNKNOWN_TARGET,
                f"the team's template has no operation {operation} of service {service}",
            )
            await send_refusal(send, refusal, self._endpoint.common_headers(context))
            return
        started_at = self._clock.monotonic()
        response = await self._handler.handle(request)
        self._learn(response, elapsed_s=self._clock.monotonic() - started_at)
        common = self._endpoint.common_headers(context)
        await send_whole(send, response.status, [*common, *response.headers], response.body)

    def _make_request(
        self,
        fields: dict[str, str],
        context: RequestContext,
        service: str,
        operation: str,
        body: bytes,
    ) -> ServiceRequest | None:
        team = self._board.read(CONFIG).teams.get(context.team)
        policy = None if team is None else team.services.get(service)
        if policy is None or operation not in policy.idempotent | policy.at_most_once:
            return None
        remaining_s = DEFAULT_TIMEOUT_S if context.remaining_s is None else context.remaining_s
        return ServiceRequest(
            operation=operation,
            team=context.team,
            key=fields.get("idempotency-key"),
            key_time_s=_parse_time(fields.get("idempotency-key-time", "")),
            body=body,
            content_type=fields.get("content-type", "application/json"),
            deadline_s=remaining_s,
            request_id=context.request_id,
            # An operation that a template lists in both places is the one that may not repeat.
            at_most_once=operation in policy.at_most_once,
        )

    def _learn(self, response: ServiceResponse, *, elapsed_s: float) -> None:
        if response.status < SERVER_ERROR:
            self._cold_limit.record_success(first_token_s=elapsed_s)


def _parse_time(text: str) -> float | None:
    try:
        seconds = float(text)
    except ValueError:
        return None
    return seconds if math.isfinite(seconds) else None
