"""Controller that keeps the configuration of this process up to date and passes it on."""

from __future__ import annotations

import asyncio
import random
import time
from typing import TYPE_CHECKING

from returns.result import Success

from cornellead_core.config import STREAM
from cornellead_core.distribution._config_exchange import PROBE_OFFSET
from cornellead_core.distribution._config_exchange import ConfigExchange
from cornellead_core.distribution._config_store import ConfigStore
from cornellead_core.distribution._snapshot_search import PAGE_RECORDS
from cornellead_core.distribution._snapshot_search import find_snapshot
from cornellead_core.facts import HOSTS
from cornellead_core.membership import Peers
from cornellead_core.wire import ConfigOffset
from cornellead_core.wire import ConfigRecords
from cornellead_core.wire import ConfigStateRequest

if TYPE_CHECKING:
    from collections.abc import Callable

    from cornellead_core.blackboard import Blackboard
    from cornellead_core.distribution._config_exchange import Push
    from cornellead_core.distribution._control_requester import ControlRequester
    from cornellead_core.platform import Log
    from cornellead_core.platform import LogPage
    from cornellead_core.settings import ProcessSettings
    from cornellead_core.wire import Message

COMPARE_INTERVAL_S = 1.0
TAIL_WAIT_S = 5.0
"""Longest wait of one read at the end of the log."""
TAIL_CHECK_S = 0.5
LOG_RETRY_S = 1.0
START_RETRY_S = 0.5
HOSTS_WAIT_S = 2.0
START_PEERS = 3
MAX_PUSHES = 16
"""Pushes in flight; a peer that does not answer holds one for the request timeout."""
MAX_PULL_ROUNDS = 8


class ConfigDistributor:
    """Reads the log, exchanges records with peers and answers theirs; a controller.

    :param store: Where records are applied; a new one by default.
    :param clock: Monotonic seconds.
    :param rng: Chooses peers.
    """

    name = "config-distributor"

    def __init__(
        self,
        *,
        board: Blackboard,
        log: Log,
        client: ControlRequester,
        settings: ProcessSettings,
        store: ConfigStore | None = None,
        clock: Callable[[], float] = time.monotonic,
        rng: random.Random | None = None,
    ) -> None:
        self._board = board
        self._log = log
        self._client = client
        self._settings = settings
        self._clock = clock
        self._rng = rng or random.Random()
        self.store = store or ConfigStore(board=board)
        self._exchange = ConfigExchange(
            store=self.store, name=settings.name, dc=settings.dc, rng=self._rng, now=clock()
        )
        self._hosts_revision = -1
        self._push_slots = asyncio.Semaphore(MAX_PUSHES)
        self._tasks: set[asyncio.Task[None]] = set()

    async def handle(self, message: Message) -> Message | None:
        """Answer a control message, or return ``None`` if it is not about configuration."""
        self._refresh_peers()
        answer = self._exchange.answer(message, now=self._clock())
        self._send_pushes()
        return answer

    async def pull(self, control_address: str) -> None:
        """Bring the state up to that of a peer, as far as the peer answers.

        :param control_address: ``ip:port`` of the peer's control listener.
        """
        for _ in range(MAX_PULL_ROUNDS):
            answer = await self._client.request(control_address, self._exchange.compare())
            if not isinstance(answer, Success):
                return
            if not self._take_answer(control_address, answer.unwrap()):
                return

    async def run(self) -> None:
        """Choose the first state, then follow the log and the peers until cancelled."""
        await self._start()
        async with asyncio.TaskGroup() as group:
            group.create_task(self._follow_log())
            group.create_task(self._compare_with_peers())

    async def _start(self) -> None:
        await self._board.wait_change(HOSTS, revision=0, timeout_s=HOSTS_WAIT_S)
        while True:
            self._refresh_peers()
            from_log, from_peers = await asyncio.gather(self._read_first(), self._ask_peers())
            if from_log is not None:
                await self._catch_up(from_log)
            if from_log is not None or from_peers:
                break
            await asyncio.sleep(START_RETRY_S)
        self._exchange.started = True
        self.store.publish()

    async def _read_first(self) -> LogPage | None:
        page = await self._log.read(STREAM, from_offset=0, limit=PAGE_RECORDS)
        return page.unwrap() if isinstance(page, Success) else None

    async def _ask_peers(self) -> bool:
        """Adopt the highest state among a few peers."""
        peers = self._exchange.peers.sample(self._rng, near=START_PEERS - 1, far=1)
        probe = ConfigOffset(PROBE_OFFSET)
        answers = await asyncio.gather(
            *(self._client.request(peer.control, probe) for peer in peers)
        )
        offsets = [
            (answer.unwrap().offset, peer.control)
            for peer, answer in zip(peers, answers, strict=True)
            if isinstance(answer, Success) and isinstance(answer.unwrap(), ConfigRecords)
        ]
        for offset, address in sorted(offsets, reverse=True):
            if offset <= self.store.offset:
                break
            state = await self._client.request(address, ConfigStateRequest())
            if isinstance(state, Success):
                self._take_answer(address, state.unwrap())
        return self.store.offset >= 0

    async def _catch_up(self, page: LogPage) -> bool:
        """Apply a page of the log and all that follow it.

        :returns: Whether the end of the log was reached.
        """
        while True:
            if page.oldest_offset > self.store.offset + 1:
                if not await self._adopt_snapshot():
                    return False
            else:
                self._exchange.take_page(page, now=self._clock())
                self._send_pushes()
            offset = self.store.offset
            if offset + 1 >= page.end_offset:
                return True
            read = await self._log.read(STREAM, from_offset=offset + 1, limit=PAGE_RECORDS)
            if not isinstance(read, Success) or not read.unwrap().records:
                return False
            page = read.unwrap()

    async def _adopt_snapshot(self) -> bool:
        found = await find_snapshot(self._log)
        if not isinstance(found, Success):
            return False
        state, time_ms = found.unwrap()
        return self.store.adopt(state, needed_since_ms=time_ms)

    async def _follow_log(self) -> None:
        while True:
            self._refresh_peers()
            if not self._exchange.reads_log(now=self._clock()):
                await asyncio.sleep(TAIL_CHECK_S)
                continue
            read = await self._log.read(
                STREAM, from_offset=self.store.offset + 1, limit=PAGE_RECORDS, wait_s=TAIL_WAIT_S
            )
            if not isinstance(read, Success) or not await self._catch_up(read.unwrap()):
                await asyncio.sleep(LOG_RETRY_S)

    async def _compare_with_peers(self) -> None:
        while True:
            self._refresh_peers()
            peer = self._exchange.choose_peer()
            if peer is not None:
                await self.pull(peer.control)
            await asyncio.sleep(COMPARE_INTERVAL_S)

    def _take_answer(self, address: str, answer: Message) -> bool:
        moved = self._exchange.take_answer(address, answer, now=self._clock())
        self._send_pushes()
        return moved

    def _refresh_peers(self) -> None:
        revision = self._board.revision(HOSTS)
        if revision != self._hosts_revision:
            self._hosts_revision = revision
            hosts = self._board.read(HOSTS)
            self._exchange.peers = Peers(
                hosts=hosts, name=self._settings.name, dc=self._settings.dc
            )

    def _send_pushes(self) -> None:
        for push in self._exchange.take_pushes():
            task = asyncio.create_task(self._send(push))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _send(self, push: Push) -> None:
        async with self._push_slots:
            await self._client.request(push.address, push.message)
