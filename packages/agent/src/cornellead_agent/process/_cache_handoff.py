"""Copies the caches of recent chats to the servers that will receive their next turns."""

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
from cornellead_core.placement import WeightedNode
from cornellead_core.placement import order_by_rendezvous
from cornellead_core.platform import HostKind
from cornellead_core.platform import HostState

if TYPE_CHECKING:
    from cornellead_agent.api import Clock
    from cornellead_agent.chats import ChatIndex
    from cornellead_core.auth import FleetKey
    from cornellead_core.blackboard import Blackboard
    from cornellead_core.pacing import ReadPacer
    from cornellead_core.platform import HostEntry
    from cornellead_core.settings import AgentSettings

MAX_CHATS = 500
"""Number of most recent chats to hand over; most returning chats return within minutes."""
MAX_CONCURRENT_TRANSFERS = 4
TRANSFER_TIMEOUT_S = 5.0


class CacheHandoff:
    """Transfers caches during a drain, most recent chat first, until the drain ends."""

    def __init__(
        self,
        *,
        settings: AgentSettings,
        board: Blackboard,
        chats: ChatIndex,
        engine: EngineClient,
        pacer: ReadPacer,
        key: FleetKey,
        clock: Clock,
    ) -> None:
        self._settings = settings
        self._board = board
        self._chats = chats
        self._engine = engine
        self._pacer = pacer
        self._key = key
        self._clock = clock
        self._clients: dict[str, EngineClient] = {}
        self._log = structlog.get_logger()
        self.transferred = 0
        """Number of caches that other servers accepted."""

    async def run(self) -> None:
        """Transfer the caches of recent chats until done or cancelled.

        A failed transfer is not retried: its chat only loses the reuse of its cache.
        """
        pending = self._chats.recent(MAX_CHATS)
        total = len(pending)
        pending.reverse()

        async def run_worker() -> None:
            while pending:
                await self._transfer(pending.pop())

        try:
            await asyncio.gather(*(run_worker() for _ in range(MAX_CONCURRENT_TRANSFERS)))
        finally:
            for client in self._clients.values():
                client.close()
            if total:
                self._log.info("caches_handed_over", chats=self.transferred, known=total)

    async def _transfer(self, chat: int) -> None:
        target = self._choose_target(chat)
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
        client = self._clients.setdefault(
            target.http, EngineClient(url=f"http://{target.http}", pacer=self._pacer)
        )
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
        self.transferred += isinstance(stored, Success) and stored.unwrap().status == 200

    def _choose_target(self, chat: int) -> HostEntry | None:
        """Return the server that routers rank first for the chat once this one has left."""
        models = self._settings.server.models
        out_of_service = self._board.read(CONFIG).out_of_service
        candidates = {
            host.name: host
            for host in self._board.read(HOSTS)
            if host.kind is HostKind.AGENT
            and host.state is HostState.LIVE
            and host.name != self._settings.process.name
            and host.dc not in out_of_service
            and set(models) <= set(host.models)
        }
        if not models or not candidates:
            return None
        key = ChatKey(chat, returning=True).placement_key(models[0])
        ranking = order_by_rendezvous(
            key, [WeightedNode(host.name, host.capacity) for host in candidates.values()]
        )
        return candidates[ranking[0]]
