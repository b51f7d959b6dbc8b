"""Hands the caches of recent chats to the servers that get their next turns."""

from __future__ import annotations

import asyncio
import secrets
from typing import TYPE_CHECKING

import structlog
from returns.result import Success

from cornellead_agent.relay import EngineClient
from cornellead_core import headers
from cornellead_core.facts import CONFIG
from cornellead_core.facts import HOSTS
from cornellead_core.placement import ChatKey
from cornellead_core.placement import Weighted
from cornellead_core.placement import order_by_rendezvous
from cornellead_core.platform import HostKind
from cornellead_core.platform import HostState

if TYPE_CHECKING:
    from cornellead_agent.api import Clock
    from cornellead_agent.chats import ChatIndex
    from cornellead_core.auth import FleetKey
    from cornellead_core.blackboard import Blackboard
    from cornellead_core.platform import HostEntry
    from cornellead_core.settings import AgentSettings

MAX_CHATS = 500
"""Most recent chats that are handed over; most chats that return do so within minutes."""
CONCURRENT = 4
TRANSFER_TIMEOUT_S = 5.0


class CacheHandoff:
    """Copies caches during a drain, newest chat first, until time runs out."""

    def __init__(
        self,
        *,
        settings: AgentSettings,
        board: Blackboard,
        chats: ChatIndex,
        engine: EngineClient,
        key: FleetKey,
        clock: Clock,
    ) -> None:
        self._settings = settings
        self._board = board
        self._chats = chats
        self._engine = engine
        self._key = key
        self._clock = clock
        self._clients: dict[str, EngineClient] = {}
        self._log = structlog.get_logger()
        self.handed = 0

    async def run(self) -> None:
        """Hand over the caches of recent chats; a failure costs cache reuse only."""
        pending = self._chats.recent(MAX_CHATS)
        total = len(pending)
        pending.reverse()

        async def work() -> None:
            while pending:
                await self._hand_over(pending.pop())

        try:
            await asyncio.gather(*(work() for _ in range(CONCURRENT)))
        finally:
            for client in self._clients.values():
                client.close()
            if total:
                self._log.info("caches_handed_over", chats=self.handed, known=total)

    async def _hand_over(self, chat: int) -> None:
        target = self._choose(chat)
        if target is None:
            return
        exported = await self._engine.fetch("GET", f"/kv/{chat:016x}", timeout_s=TRANSFER_TIMEOUT_S)
        if not isinstance(exported, Success) or exported.unwrap().status != 200:
            return
        path = f"/v1/kv/{chat:016x}"
        request_id = secrets.token_hex(8)
        auth = self._key.sign_request(
            now_ms=self._clock.unix_ms(), method="PUT", path=path, request_id=request_id
        )
        client = self._clients.setdefault(target.http, EngineClient(url=f"http://{target.http}"))
        stored = await client.fetch(
            "PUT",
            path,
            headers=[
                (headers.REQUEST, request_id),
                (headers.AUTH, auth),
                (headers.CHAT, f"{chat:016x}"),
            ],
            body=exported.unwrap().body,
            timeout_s=TRANSFER_TIMEOUT_S,
        )
        self.handed += isinstance(stored, Success) and stored.unwrap().status == 200

    def _choose(self, chat: int) -> HostEntry | None:
        """Return the server that is next in the order of the chat."""
        models = self._settings.server.models
        out = self._board.read(CONFIG).out_of_service
        candidates = {
            host.name: host
            for host in self._board.read(HOSTS)
            if host.kind is HostKind.AGENT
            and host.state is HostState.LIVE
            and host.name != self._settings.process.name
            and host.dc not in out
            and set(models) <= set(host.models)
        }
        if not models or not candidates:
            return None
        key = ChatKey(chat, returning=True).placement_key(models[0])
        order = order_by_rendezvous(
            key, [Weighted(host.name, host.capacity) for host in candidates.values()]
        )
        return candidates[order[0]]
