"""Sends a request to one agent and classifies the response."""

from __future__ import annotations

import asyncio
import time
from collections import Counter
from typing import TYPE_CHECKING

from returns.result import Failure

from cornellead.dispatch._attempt_result import AgentRefusal
from cornellead.dispatch._attempt_result import AgentResponse
from cornellead.dispatch._attempt_result import AttemptFailure
from cornellead.dispatch._attempt_result import AttemptResult
from cornellead_core import headers as header_names
from cornellead_core.config import Priority
from cornellead_core.decoding import decode_count
from cornellead_core.facts import CONFIG
from cornellead_core.load import decode_digest
from cornellead_core.load import encode_digest
from cornellead_core.outcomes import Refusal
from cornellead_core.outcomes import RefusalReason

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Mapping

    from cornellead.dispatch._agent_request import AgentRequest
    from cornellead.fleet import ServerView
    from cornellead.upstream import ConnectionPool
    from cornellead.upstream import ResponseHead
    from cornellead_core.auth import FleetKey
    from cornellead_core.blackboard import Blackboard
    from cornellead_core.platform import HostEntry

MAX_REFUSAL_BODY_BYTES = 64 << 10
REFUSAL_GRACE_S = 0.1
"""How long the router waits for response headers after the deadline. Agents refuse within
milliseconds, so a refusal that is in transit at the deadline still arrives and the caller gets the
outcome `not_run` instead of `unknown`."""


class AgentClient:
    """Client for the agents' HTTP interface.

    Adds the internal headers to each request, and updates the load view and the configuration from
    the headers of the response.

    :param on_newer_config: Called with the control address of an agent whose configuration is newer
        than this router's.
    """

    def __init__(
        self,
        *,
        board: Blackboard,
        pool: ConnectionPool,
        view: ServerView,
        key: FleetKey,
        on_newer_config: Callable[[str], None],
    ) -> None:
        self._board = board
        self._pool = pool
        self._view = view
        self._key = key
        self._on_newer_config = on_newer_config
        self.attempts = 0
        self.refusals: Counter[str] = Counter()
        """Number of refusals by agents, by reason."""

    async def call(
        self, host: HostEntry, req: AgentRequest, attempt_headers: Mapping[str, str]
    ) -> AttemptResult:
        """Send the request and wait for status and headers of the response.

        :param attempt_headers: Headers of this attempt only.
        """
        loop = asyncio.get_running_loop()
        remaining = req.deadline - loop.time()
        if remaining <= 0:
            return AttemptFailure(
                "the deadline passed before the request was sent", may_have_run=False
            )
        self.attempts += 1
        request_head = self._encode_head(
            host, req, attempt_headers, remaining_s=remaining, now=loop.time()
        )
        sent = await self._pool.send(host.http, request_head, req.body, fresh=req.fresh_connection)
        if isinstance(sent, Failure):
            self._view.record_failure(host.name, now=loop.time())
            return AttemptFailure(sent.failure().message, may_have_run=False)
        exchange = sent.unwrap()
        timer = exchange.abort_at(req.deadline + REFUSAL_GRACE_S)
        try:
            response_head = await exchange.head()
        finally:
            timer.cancel()
        if response_head is None:
            if loop.time() < req.deadline:
                self._view.record_failure(host.name, now=loop.time())
            return AttemptFailure(f"{host.name} closed the connection", may_have_run=True)
        if response_head.headers.get(header_names.REQUEST) != req.request_id:
            exchange.abort()
            self._view.record_failure(host.name, now=loop.time())
            return AttemptFailure(f"{host.name} answered another request", may_have_run=True)
        self._apply_shared_state(host, response_head, now=loop.time())
        reason = response_head.headers.get(header_names.REFUSAL)
        if reason is None:
            self._view.record_response(host.name)
            return AgentResponse(response_head, exchange)
        # The connection can only be reused after the whole body was read.
        timer = exchange.abort_at(req.deadline)
        try:
            await exchange.read_all(limit=MAX_REFUSAL_BODY_BYTES)
        finally:
            timer.cancel()
        self.refusals[reason] += 1
        refusal = _parse_refusal(reason, host.name, response_head.headers)
        batch = req.priority == Priority.BATCH
        self._view.record_refusal(host.name, refusal.reason, batch=batch, now=loop.time())
        return AgentRefusal(refusal, response_head)

    def _encode_head(
        self,
        host: HostEntry,
        req: AgentRequest,
        attempt_headers: Mapping[str, str],
        *,
        remaining_s: float,
        now: float,
    ) -> bytes:
        auth = self._key.sign_request(
            now_ms=round(time.time() * 1000),
            method="POST",
            path=req.path,
            request_id=req.request_id,
        )
        headers = {
            "host": host.http,
            "content-type": req.content_type,
            "content-length": str(len(req.body)),
            header_names.AUTH: auth,
            header_names.REQUEST: req.request_id,
            header_names.TEAM: req.team,
            header_names.PRIORITY: req.priority,
            header_names.DEADLINE_MS: str(max(1, round(remaining_s * 1000))),
            header_names.CONFIG: str(self._board.read(CONFIG).offset),
            header_names.LOAD: encode_digest(self._view.digest(now=now)),
            **req.headers,
            **attempt_headers,
        }
        lines = [
            f"POST {req.path} HTTP/1.1",
            *(f"{name}: {value}" for name, value in headers.items()),
        ]
        return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")

    def _apply_shared_state(
        self, host: HostEntry, response_head: ResponseHead, *, now: float
    ) -> None:
        # Agents attach load reports and their configuration offset to every response.
        load = response_head.headers.get(header_names.LOAD)
        if load is not None:
            digest = decode_digest(load)
            if not isinstance(digest, Failure):
                self._view.merge(digest.unwrap(), now=now)
        offset = decode_count(response_head.headers.get(header_names.CONFIG, "").encode())
        if offset is not None and offset > self._board.read(CONFIG).offset:
            self._on_newer_config(host.control)


def _parse_refusal(reason: str, server: str, headers: Mapping[str, str]) -> Refusal:
    try:
        refusal_reason = RefusalReason(reason)
    except ValueError:
        # Agents of a later version may have more reasons. Any refusal guarantees that the request
        # did not run, so it is handled like a server that is down.
        refusal_reason = RefusalReason.SERVER_DOWN
    retry_after = headers.get("retry-after", "")
    return Refusal(
        refusal_reason,
        f"{server} refused: {reason}",
        hint=headers.get(header_names.HINT, ""),
        retry_after_s=float(retry_after) if retry_after.isdecimal() else None,
    )
