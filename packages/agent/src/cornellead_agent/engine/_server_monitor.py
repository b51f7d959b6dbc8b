"""Health check of the agent's server through its load report."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import msgspec
import structlog
from returns.result import Success

from cornellead_agent.admission import ServerSample
from cornellead_agent.facts import SERVER
from cornellead_agent.facts import ServerView
from cornellead_core.decoding import UNREADABLE
from cornellead_core.facts import CONFIG

if TYPE_CHECKING:
    from cornellead_agent.admission import ColdLimit
    from cornellead_agent.chats import ChatIndex
    from cornellead_agent.relay import EngineClient
    from cornellead_core.blackboard import Blackboard

SAMPLE_INTERVAL_S = 0.25
SAMPLE_TIMEOUT_S = 1.0
MAX_FAILURES = 2
"""Consecutive failed samples after which the server is considered down."""


class _LoadReport(msgspec.Struct):
    boot_id: str = ""
    restarts: int = 0
    running: int = 0
    waiting: int = 0
    capacity: int = 0
    cached_blocks: int = 0
    models: tuple[str, ...] = ()
    adapters: tuple[str, ...] = ()
    version: str = ""
    role: str = ""


class ServerMonitor:
    """Controller that writes the `SERVER` fact and updates the cold limit.

    :param chats: Index that is cleared when the server turns cold.
    """

    name = "server-monitor"

    def __init__(
        self,
        *,
        dc: str,
        board: Blackboard,
        client: EngineClient,
        cold_limit: ColdLimit,
        chats: ChatIndex,
    ) -> None:
        self._dc = dc
        self._board = board
        self._client = client
        self._cold_limit = cold_limit
        self._chats = chats
        self._failures = 0
        self._log = structlog.get_logger()

    async def run(self) -> None:
        """Sample at a fixed interval until cancelled."""
        while True:
            await self.sample()
            await asyncio.sleep(SAMPLE_INTERVAL_S)

    async def sample(self) -> None:
        """Read the server's load report once and record the result or the failure."""
        fetched = await self._client.fetch("GET", "/load", timeout_s=SAMPLE_TIMEOUT_S, shared=True)
        if not isinstance(fetched, Success) or fetched.unwrap().status != 200:
            self._record_failure()
            return
        try:
            report = msgspec.json.decode(fetched.unwrap().body, type=_LoadReport)
        except UNREADABLE:
            self._record_failure()
            return
        self._apply_report(report)

    def _apply_report(self, report: _LoadReport) -> None:
        previous = self._board.read(SERVER)
        cold = self._cold_limit.observe(
            ServerSample(report.boot_id, report.restarts, report.running, report.cached_blocks)
        )
        if cold:
            self._chats.clear()
            self._log.warning("server_cold", boot_id=report.boot_id, restarts=report.restarts)
        if self._dc in self._board.read(CONFIG).out_of_service:
            # The server is idle. When its data centre returns to service, it starts from the cold
            # limit instead of receiving a full share of the load at once.
            self._cold_limit.restart()
        if not previous.up:
            self._log.info("server_up", boot_id=report.boot_id)
        self._failures = 0
        self._board.write(SERVER, ServerView(up=True, **msgspec.structs.asdict(report)))

    def _record_failure(self) -> None:
        self._failures += 1
        previous = self._board.read(SERVER)
        if self._failures >= MAX_FAILURES and previous.up:
            self._log.warning("server_down", failures=self._failures)
            self._board.write(SERVER, previous._replace(up=False))
