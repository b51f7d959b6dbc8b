"""Endpoint for operations of a service, called by routers."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING
from typing import Any

from cornellead_agent.api._request_context import read_headers
from cornellead_agent.api._request_context import read_path
from cornellead_agent.api._responses import send_refusal
from cornellead_agent.api._responses import send_response
from cornellead_agent.services import ServiceRequest
from cornellead_core import headers
from cornellead_core.facts import CONFIG

if TYPE_CHECKING:
    from collections.abc import Mapping

    from cornellead_agent.admission import AdmissionController
    from cornellead_agent.admission import ColdLimit
    from cornellead_agent.api._clock import Clock
    from cornellead_agent.api._request_context import RequestContext
    from cornellead_agent.api._router_request_handler import RouterRequestHandler
    from cornellead_agent.services import ServiceHandler
    from cornellead_core.blackboard import Blackboard

DEFAULT_DEADLINE_S = 30.0
"""Deadline of a call whose router sent none."""
MIN_SERVER_ERROR_STATUS = 500


class ServiceEndpoint:
    """Raw ASGI handler of ``POST /v1/services/{service}/{operation}``.

    :param service: Name of the service that this agent serves, or empty for a model engine.
    """

    def __init__(
        self,
        *,
        service: str,
        request_handler: RouterRequestHandler,
        board: Blackboard,
        admission: AdmissionController,
        cold_limit: ColdLimit,
        handler: ServiceHandler | None,
        clock: Clock,
    ) -> None:
        self._service = service
        self._request_handler = request_handler
        self._board = board
        self._admission = admission
        self._cold_limit = cold_limit
        self._handler = handler
        self._clock = clock

    async def handle(self, scope: Any, receive: Any, send: Any) -> None:
        """Authenticate and admit one call, then send the response of the service handler."""
        context = await self._request_handler.accept(scope, send)
        if context is None:
            return
        _, _, path = read_path(scope).partition("/v1/services/")
        service, _, operation = path.rstrip("/").partition("/")
        if self._handler is None or service != self._service or not operation:
            message = f"this agent serves {self._service or 'models'}; refresh the host list"
            await self._request_handler.reject(send, context, 404, message)
            return
        body = await self._request_handler.read_body(context, receive, send)
        if body is None:
            return
        now = self._clock.monotonic()
        refusal = self._admission.admit(context.admission, chat=None, now=now)
        if refusal is not None:
            await send_refusal(send, refusal, self._request_handler.common_headers(context))
            return
        try:
            request = self._make_request(operation, context, read_headers(scope), body, now)
            response = await self._handler.handle(request)
        finally:
            self._admission.finish(duration_s=self._clock.monotonic() - now)
        if response.status >= MIN_SERVER_ERROR_STATUS:
            self._record_failure(response.headers)
        else:
            self._cold_limit.record_success(first_token_s=None)
        fields = [*self._request_handler.common_headers(context), *response.headers]
        await send_response(send, response.status, fields, response.body)

    def _make_request(
        self,
        operation: str,
        context: RequestContext,
        fields: Mapping[str, str],
        body: bytes,
        now: float,
    ) -> ServiceRequest:
        deadline_at = context.admission.deadline_at
        return ServiceRequest(
            operation=operation,
            team=context.team,
            key=fields.get("idempotency-key"),
            key_time_s=_parse_seconds(fields.get("idempotency-key-time", "")),
            body=body,
            content_type=fields.get("content-type", "application/json"),
            deadline_s=DEFAULT_DEADLINE_S if deadline_at is None else deadline_at - now,
            request_id=context.request_id,
            at_most_once=not self._is_idempotent(context.team, operation),
        )

    def _is_idempotent(self, team: str, operation: str) -> bool:
        # An operation that the configuration does not list as idempotent must not run twice.
        policy = self._board.read(CONFIG).teams.get(team)
        if policy is None or self._service not in policy.services:
            return False
        operations = policy.services[self._service]
        return operation in operations.idempotent - operations.at_most_once

    def _record_failure(self, fields: list[tuple[str, str]]) -> None:
        reason = next((value for name, value in fields if name == headers.REFUSAL), None)
        if reason is None:
            self._cold_limit.record_error()
            return
        self._admission.count_refusal(reason)


def _parse_seconds(text: str) -> float | None:
    try:
        seconds = float(text)
    except ValueError:
        return None
    return seconds if math.isfinite(seconds) else None
