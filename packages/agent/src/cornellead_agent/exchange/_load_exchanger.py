"""Exchange of load summaries between agents."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

from returns.result import Success

from cornellead_agent.exchange._interval import round_interval_s
from cornellead_agent.facts import ANNOUNCED
from cornellead_core.facts import HOSTS
from cornellead_core.load import Digest
from cornellead_core.platform import HostKind
from cornellead_core.wire import LoadExchange

if TYPE_CHECKING:
    from cornellead_agent.admission import Gate
    from cornellead_core.blackboard import Blackboard
    from cornellead_core.load import LoadTable
    from cornellead_core.platform import HostEntry
    from cornellead_core.settings import AgentSettings
    from cornellead_core.wire import ControlClient
    from cornellead_core.wire import Message

ANNOUNCE_S = 0.6
"""Time between the first exchange and the first admission, in which peers learn the capacity."""


class LoadExchanger:
    """Controller that sends this agent's load to peers and merges theirs."""

    name = "load-exchanger"

    def __init__(
        self,
        *,
        settings: AgentSettings,
        board: Blackboard,
        table: LoadTable,
        gate: Gate,
        client: ControlClient,
    ) -> None:
        self._settings = settings
        self._board = board
        self._table = table
        self._gate = gate
        self._client = client

    def handle(self, message: LoadExchange) -> Message:
        """Merge a peer's summaries and answer with this agent's."""
        self._table.merge(Digest(message.summaries), now=time.monotonic())
        return LoadExchange([self._gate.summary()])

    async def run(self) -> None:
        """Exchange until cancelled."""
        started_at = time.monotonic()
        while True:
            peers = self._peers()
            await asyncio.gather(*(self._exchange(peer.control) for peer in peers))
            if not self._board.read(ANNOUNCED) and time.monotonic() - started_at >= ANNOUNCE_S:
                self._board.write(ANNOUNCED, True)
            await asyncio.sleep(round_interval_s(exchanges=len(peers)))

    async def _exchange(self, address: str) -> None:
        sent_at = time.monotonic()
        reply = await self._client.request(address, LoadExchange([self._gate.summary()]))
        if not isinstance(reply, Success):
            return
        message = reply.unwrap()
        if isinstance(message, LoadExchange):
            # Dated from the request, so that the time on the wire counts as age.
            self._table.merge(Digest(message.summaries), now=sent_at)

    def _peers(self) -> list[HostEntry]:
        name = self._settings.process.name
        return [
            host
            for host in self._board.read(HOSTS)
            if host.kind is HostKind.AGENT and not host.service and host.name > name
        ]
