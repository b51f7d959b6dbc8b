"""Sends one request to one agent and classifies the answer."""

from __future__ import annotations

import asyncio
import time
from collections import Counter
from typing import TYPE_CHECKING

from returns.result import Failure

from cornellead.dispatch._agent_reply import AgentReply
from cornellead.dispatch._agent_reply import Answered
from cornellead.dispatch._agent_reply import Failed
from cornellead.dispatch._agent_reply import Refused
from cornellead_core import headers as names
from cornellead_core.config import Priority
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

REFUSAL_BODY_LIMIT = 64 << 10
REFUSAL_GRACE_S = 0.1
"""Wait past the deadline for the response of an attempt. An agent refuses within milliseconds, and
a refusal on its way at the deadline turns `unknown` into a true `not_run`."""


class AgentCaller:
    """Adds the internal headers to a request and reads them from the response.

    :param on_newer_config: Called with the control address of an agent with a newer configuration.
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
        """Refusals of agents by reason."""

    async def call(
        self, host: HostEntry, req: AgentRequest, extra: Mapping[str, str]
    ) -> AgentReply:
        """Send the request and wait for the head of the response.

        :param extra: Headers of this attempt only.
        """
        loop = asyncio.get_running_loop()
        remaining = req.deadline - loop.time()
        if remaining <= 0:
            return Failed("the deadline passed before the request was sent", may_have_run=False)
        self.attempts += 1
        head = self._head(host, req, extra, remaining_s=remaining, now=loop.time())
        opened = await self._pool.send(host.http, head, req.body, fresh=req.fresh_connection)
        if isinstance(opened, Failure):
            self._view.failed(host.name, now=loop.time())
            return Failed(opened.failure().message, may_have_run=False)
        exchange = opened.unwrap()
        timer = loop.call_at(req.deadline + REFUSAL_GRACE_S, exchange.abort)
        try:
            answer = await exchange.head()
        finally:
            timer.cancel()
        if answer is None:
            if loop.time() < req.deadline:
                self._view.failed(host.name, now=loop.time())
            return Failed(f"{host.name} closed the connection", may_have_run=True)
        if answer.headers.get(names.REQUEST) != req.request_id:
            exchange.abort()
            self._view.failed(host.name, now=loop.time())
            return Failed(f"{host.name} answered another request", may_have_run=True)
        self._learn(host, answer, now=loop.time())
        reason = answer.headers.get(names.REFUSAL)
        if reason is None:
            self._view.answered(host.name)
            return Answered(answer, exchange)
        # Reads the rest so that the connection can be used again.
        timer = loop.call_at(req.deadline, exchange.abort)
        try:
            await exchange.read_all(limit=REFUSAL_BODY_LIMIT)
        finally:
            timer.cancel()
        self.refusals[reason] += 1
        refusal = _read_refusal(reason, host.name, answer.headers)
        batch = req.priority == Priority.BATCH
        self._view.refused(host.name, refusal.reason, batch=batch, now=loop.time())
        return Refused(refusal, answer)

    def _head(
        self,
        host: HostEntry,
        req: AgentRequest,
        extra: Mapping[str, str],
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
        fields = {
            "host": host.http,
            "content-type": req.content_type,
            "content-length": str(len(req.body)),
            names.AUTH: auth,
            names.REQUEST: req.request_id,
            names.TEAM: req.team,
            names.PRIORITY: req.priority,
            names.DEADLINE_MS: str(max(1, round(remaining_s * 1000))),
            names.CONFIG: str(self._board.read(CONFIG).offset),
            names.LOAD: encode_digest(self._view.digest(now=now)),
            **req.headers,
            **extra,
        }
        lines = [f"POST {req.path} HTTP/1.1", *(f"{name}: {text}" for name, text in fields.items())]
        return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")

    def _learn(self, host: HostEntry, answer: ResponseHead, *, now: float) -> None:
        load = answer.headers.get(names.LOAD)
        if load is not None:
            digest = decode_digest(load)
            if not isinstance(digest, Failure):
                self._view.merge(digest.unwrap(), now=now)
        offset = answer.headers.get(names.CONFIG, "")
        if offset.isdecimal() and int(offset) > self._board.read(CONFIG).offset:
            self._on_newer_config(host.control)


def _read_refusal(reason: str, server: str, fields: Mapping[str, str]) -> Refusal:
    try:
        known = RefusalReason(reason)
    except ValueError:
        # An agent of a later version; its refusal still guarantees that the request did not run.
        known = RefusalReason.SERVER_DOWN
    retry_after = fields.get("retry-after", "")
    return Refusal(
        known,
        f"{server} refused: {reason}",
        hint=fields.get(names.HINT, ""),
        retry_after_s=float(retry_after) if retry_after.isdecimal() else None,
    )
