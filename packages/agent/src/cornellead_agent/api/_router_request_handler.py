"""Request handling that all endpoints for routers share."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

from returns.result import Success

from cornellead_agent.api._body import read_body
from cornellead_agent.api._request_context import read_context
from cornellead_agent.api._request_context import read_headers
from cornellead_agent.api._request_context import read_path
from cornellead_agent.api._responses import send_error
from cornellead_agent.api._responses import send_refusal
from cornellead_agent.facts import REQUIRED_CONFIG_OFFSET
from cornellead_core import headers
from cornellead_core.facts import CONFIG
from cornellead_core.load import decode_digest
from cornellead_core.load import encode_digest
from cornellead_core.outcomes import Outcome
from cornellead_core.outcomes import Refusal
from cornellead_core.outcomes import RefusalReason

if TYPE_CHECKING:
    from cornellead_agent.admission import AdmissionController
    from cornellead_agent.api._clock import Clock
    from cornellead_agent.api._request_context import RequestContext
    from cornellead_core.auth import FleetKey
    from cornellead_core.blackboard import Blackboard
    from cornellead_core.load import LoadTable


class RouterRequestHandler:
    """Authenticates routers, merges load digests and makes the common response headers."""

    def __init__(
        self,
        *,
        key: FleetKey,
        board: Blackboard,
        table: LoadTable,
        admission: AdmissionController,
        clock: Clock,
    ) -> None:
        self._key = key
        self._board = board
        self._table = table
        self._admission = admission
        self._clock = clock

    async def accept(self, scope: Any, send: Any) -> RequestContext | None:
        """Verify the signature of a request; merge its load digest and configuration offset.

        :returns: Context of the request, or ``None`` if it was refused; the refusal is then sent.
        """
        fields = read_headers(scope)
        now = self._clock.monotonic()
        context = read_context(fields, now=now)
        authentic = self._key.verify_request(
            fields.get(headers.AUTH, ""),
            now_ms=self._clock.unix_ms(),
            method=scope["method"],
            path=read_path(scope),
            request_id=context.request_id,
        )
        if not authentic:
            refusal = Refusal(
                RefusalReason.UNAUTHORIZED,
                "check the fleet key and the clock of the router",
            )
            self._admission.count_refusal(refusal.reason.value)
            await send_refusal(send, refusal, [(headers.REQUEST, context.request_id)])
            return None
        self._apply_headers(context, now)
        return context

    def common_headers(self, context: RequestContext) -> list[tuple[str, str]]:
        """Return the headers of every response to a router."""
        digest = self._admission.digest(now=self._clock.monotonic())
        return [
            (headers.REQUEST, context.request_id),
            (headers.CONFIG, str(self._board.read(CONFIG).offset)),
            (headers.LOAD, encode_digest(digest)),
        ]

    async def read_body(self, context: RequestContext, receive: Any, send: Any) -> bytes | None:
        """Return the body, or ``None`` if the request was rejected; the error is then sent."""
        received = await read_body(receive)
        if not isinstance(received, Success):
            error = received.failure()
            await self.reject(send, context, error.status, error.message)
            return None
        body: bytes = received.unwrap()
        return body

    async def reject(self, send: Any, context: RequestContext, status: int, message: str) -> None:
        """Send an error for a malformed request, with the outcome ``not_run``."""
        fields = self.common_headers(context)
        await send_error(
            send, status, fields, message=message, code="bad_request", outcome=Outcome.NOT_RUN
        )

    def _apply_headers(self, context: RequestContext, now: float) -> None:
        if context.load_digest:
            digest = decode_digest(context.load_digest)
            if isinstance(digest, Success):
                self._table.merge(digest.unwrap(), now=now)
        if context.admission.config_offset > max(
            self._board.read(CONFIG).offset, self._board.read(REQUIRED_CONFIG_OFFSET)
        ):
            self._board.write(REQUIRED_CONFIG_OFFSET, context.admission.config_offset)
