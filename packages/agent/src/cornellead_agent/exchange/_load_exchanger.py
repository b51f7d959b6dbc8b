"""Controller of the load exchange with the other agents of the fleet."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

from returns.result import Success

from cornellead_agent.exchange._load_node import LoadNode
from cornellead_agent.exchange._round_plan import Member
from cornellead_agent.facts import ANNOUNCED
from cornellead_core.facts import HOSTS
from cornellead_core.platform import HostKind
from cornellead_core.wire import LoadExchange

if TYPE_CHECKING:
    from cornellead_agent.admission import AdmissionController
    from cornellead_core.blackboard import Blackboard
    from cornellead_core.load import LoadTable
    from cornellead_core.settings import AgentSettings
    from cornellead_core.wire import ControlClient
    from cornellead_core.wire import LoadReportMessage
    from cornellead_core.wire import Message

MAX_ANNOUNCE_S = 5.0
"""Time after which an agent admits requests even if some listed agents have not replied."""
MIN_ANNOUNCE_S = 1.0
"""Minimum time from the first exchange to the first admission, in which peers receive the capacity
of this server."""


class LoadExchanger:
    """Controller that runs the rounds of the load exchange and sets the `ANNOUNCED` fact."""

    name = "load-exchanger"

    def __init__(
        self,
        *,
        settings: AgentSettings,
        board: Blackboard,
        table: LoadTable,
        admission: AdmissionController,
        client: ControlClient,
    ) -> None:
        self._board = board
        self._client = client
        self._admission = admission
        self._service = settings.server.service
        process = settings.process
        self._node = LoadNode(name=process.name, dc=process.dc, admission=admission, table=table)

    def handle(self, message: LoadExchange | LoadReportMessage) -> LoadExchange:
        """Merge a message of a peer and return the reply."""
        return self._node.handle(message, now=time.monotonic())

    async def run(self) -> None:
        """Run rounds until cancelled; an agent of a service only waits to be announced."""
        started_at = time.monotonic()
        while True:
            if not self._service:
                await self._run_round()
            if not self._board.read(ANNOUNCED) and self._is_announced(
                time.monotonic() - started_at
            ):
                self._board.write(ANNOUNCED, True)
            await asyncio.sleep(self._node.interval_s)

    def _is_announced(self, elapsed_s: float) -> bool:
        """Whether this server may admit requests.

        Peers must have received its capacity and it must have their summaries: without them, it
        could not estimate the mean load.
        """
        if elapsed_s < MIN_ANNOUNCE_S or not self._board.revision(HOSTS):
            return False
        listed = sum(
            host.kind is HostKind.AGENT and not host.service for host in self._board.read(HOSTS)
        )
        summarized = self._admission.estimate(now=time.monotonic()).servers
        return elapsed_s >= MAX_ANNOUNCE_S or summarized >= listed or bool(self._service)

    async def _run_round(self) -> None:
        engines = {
            host.name: host
            for host in self._board.read(HOSTS)
            if host.kind is HostKind.AGENT and not host.service
        }
        members = [Member(host.name, host.dc) for host in engines.values()]
        messages = self._node.start_round(members, now=time.monotonic())
        await asyncio.gather(
            *(
                self._exchange(peer, engines[peer].control, message)
                for peer, message in messages
                if peer in engines
            )
        )

    async def _exchange(self, peer: str, address: str, message: Message) -> None:
        sent_at = time.monotonic()
        result = await self._client.request(address, message)
        if isinstance(result, Success):
            reply = result.unwrap()
            if isinstance(reply, LoadExchange):
                self._node.record_reply(peer, reply, sent_at=sent_at)
                return
        self._node.record_failure(peer, now=time.monotonic())
