"""Handler of calls to services."""

from __future__ import annotations

import re
from typing import TYPE_CHECKING

from cornellead.api._caller_connection import CallerConnection
from cornellead.api._caller_request import CallerRequest
from cornellead.api._caller_request import read_request
from cornellead.dispatch import AgentRequest
from cornellead.dispatch import ServiceJob
from cornellead.errors import ApiError
from cornellead.errors import invalid_request_error

if TYPE_CHECKING:
    from litestar.types import Receive
    from litestar.types import Scope
    from litestar.types import Send

    from cornellead.api._request_runner import RequestRunner
    from cornellead.dispatch import RequestState
    from cornellead.dispatch import ServiceDispatcher
    from cornellead.limits import TeamLimiter
    from cornellead.stats import RouterStats
    from cornellead_core.blackboard import Blackboard
    from cornellead_core.retries import RetryBudget
    from cornellead_core.settings import RouterSettings

_OPERATION_PATH = re.compile(r"/([A-Za-z0-9_.-]+)/([A-Za-z0-9_.-]+)/?")
"""Service and operation, in the path below the mount point."""
_IDEMPOTENCY_KEY = re.compile(r"[\x21-\x7e]{1,255}")
FORWARDED_HEADERS = ("content-type", "idempotent-replayed", "retry-after")


class ServiceHandler:
    """ASGI application for ``POST /v1/services/{service}/{operation}``."""

    def __init__(
        self,
        *,
        board: Blackboard,
        settings: RouterSettings,
        dispatcher: ServiceDispatcher,
        budget: RetryBudget,
        team_limiter: TeamLimiter,
        stats: RouterStats,
        runner: RequestRunner,
    ) -> None:
        self._board = board
        self._settings = settings
        self._dispatcher = dispatcher
        self._budget = budget
        self._team_limiter = team_limiter
        self._stats = stats
        self._runner = runner

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Serve one service call."""
        conn = CallerConnection(scope=scope, receive=receive, send=send)
        await self._runner.run(
            conn,
            lambda request_id, state: self._serve(conn, scope["path"], request_id, state),
            kind="service",
        )

    async def _serve(
        self, conn: CallerConnection, path: str, request_id: str, state: RequestState
    ) -> ApiError | None:
        req = await read_request(conn, board=self._board, settings=self._settings)
        if isinstance(req, ApiError):
            return req
        job = self._parse(conn, req, path, request_id)
        if isinstance(job, ApiError):
            return job
        # An at-most-once call continues after its caller disconnects: the response is recorded,
        # and a retry with the same key receives it.
        if not job.at_most_once:
            conn.cancel_on_disconnect()
        error = self._team_limiter.admit(req.team, now=req.received_at)
        if error is not None:
            return error
        self._budget.count_request(now=req.received_at)
        try:
            response = await self._dispatcher.run(job, state)
        finally:
            self._team_limiter.release(req.team)
        if isinstance(response, ApiError):
            return response
        headers = [
            (name.encode(), response.headers[name].encode("latin-1"))
            for name in FORWARDED_HEADERS
            if name in response.headers
        ]
        headers.append((b"x-request-id", request_id.encode()))
        self._stats.count_response("service", response.status)
        await conn.respond(response.status, headers, response.body)
        return None

    def _parse(
        self, conn: CallerConnection, req: CallerRequest, path: str, request_id: str
    ) -> ServiceJob | ApiError:
        match = _OPERATION_PATH.fullmatch(path)
        if match is None:
            return invalid_request_error(
                "the path is not /v1/services/{service}/{operation}", status=404
            )
        service, operation = match.groups()
        policy = req.team.services.get(service)
        if policy is None or operation not in policy.at_most_once | policy.idempotent:
            message = f"team {req.team.name} may not call {service}/{operation}"
            return invalid_request_error(message, status=404, code="operation_not_found")
        at_most_once = operation in policy.at_most_once
        key = conn.header("idempotency-key")
        if key is None and at_most_once:
            message = f"{operation} runs at most once; send an Idempotency-Key"
            return invalid_request_error(message, code="idempotency_key_missing")
        if key is not None and not _IDEMPOTENCY_KEY.fullmatch(key):
            message = "Idempotency-Key is not 1 to 255 visible ASCII characters"
            return invalid_request_error(message, code="idempotency_key_invalid")
        extra_headers = {} if key is None else {"idempotency-key": key}
        key_time = conn.header("idempotency-key-time")
        if key_time is not None:
            extra_headers["idempotency-key-time"] = key_time
        request = AgentRequest(
            request_id=request_id,
            path=f"/v1/services/{service}/{operation}",
            body=req.body,
            content_type=conn.header("content-type") or "application/json",
            team=req.team.name,
            priority=str(req.priority),
            deadline=req.deadline,
            headers=extra_headers,
            fresh_connection=at_most_once,
        )
        return ServiceJob(request, service, key, at_most_once, req.team, req.priority)
