"""Controller that keeps the configuration of this process up to date and passes it on."""

from __future__ import annotations

import asyncio
import random
import time
from typing import TYPE_CHECKING

from returns.result import Success

from cornellead_core.config import STREAM
from cornellead_core.config import make_snapshot
from cornellead_core.distribution._config_exchange import PROBE_OFFSET
from cornellead_core.distribution._config_exchange import ConfigExchange
from cornellead_core.distribution._config_store import ConfigStore
from cornellead_core.distribution._log_read_policy import SNAPSHOT_STEP_S
from cornellead_core.distribution._log_read_policy import TAILS_PER_DC
from cornellead_core.distribution._log_read_policy import retry_pause_s
from cornellead_core.distribution._log_read_policy import snapshot_due_ms
from cornellead_core.distribution._log_read_policy import snapshot_rank
from cornellead_core.distribution._log_read_policy import tail_rank
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
COMPARE_MIN_INTERVAL_S = 0.1
TAIL_WAIT_S = 1.0
"""Longest wait of one read at the end of the log; the time in which an outage is noticed."""
TAIL_CHECK_S = 0.25
SNAPSHOT_RETRY_S = 5.0
"""Pause after an append of a snapshot, in which it comes back with the records read."""
START_RETRY_S = 0.5
HOSTS_WAIT_S = 2.0
START_PEERS = 3
MAX_PUSHES = 16
"""Pushes in flight; a peer that does not answer holds one for the request timeout."""


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
        self._snapshot_after = float("-inf")
        self._gap = asyncio.Event()
        self._push_slots = asyncio.Semaphore(MAX_PUSHES)
        self._tasks: set[asyncio.Task[None]] = set()

    @property
    def reads_log_by_rank(self) -> bool:
        """Whether this process is one of those of its data centre that always read the log."""
        return tail_rank(self._exchange.peers) < TAILS_PER_DC

    async def handle(self, message: Message) -> Message | None:
        """Answer a control message, or return ``None`` if it is not about configuration."""
        self._refresh_peers()
        answer = self._exchange.answer(message, now=self._clock())
        self._send_pushes()
        if self._exchange.take_gap():
            self._gap.set()
        return answer

    async def pull(self, control_address: str) -> None:
        """Bring the state up to that of a peer, as far as the peer answers.

        :param control_address: ``ip:port`` of the peer's control listener.
        """
        compare = self._exchange.compare(now=self._clock())
        answer = await self._client.request(control_address, compare)
        if isinstance(answer, Success):
            self._take_answer(control_address, answer.unwrap())

    async def run(self) -> None:
        """Choose the first state, then follow the log and the peers until cancelled."""
        try:
            await self._start()
            async with asyncio.TaskGroup() as group:
                group.create_task(self._follow_log())
                group.create_task(self._compare_with_peers())
        finally:
            for task in self._tasks:
                task.cancel()

    async def _start(self) -> None:
        await self._board.wait_change(HOSTS, revision=0, timeout_s=HOSTS_WAIT_S)
        while True:
            self._refresh_peers()
            log_answers, has_state = await asyncio.gather(self._probe_log(), self._ask_peers())
            if (log_answers and await self._read_to_end(wait_s=0.0)) or has_state:
                break
            await asyncio.sleep(START_RETRY_S)
        self._exchange.started = True
        self.store.publish()

    async def _probe_log(self) -> bool:
        return isinstance(await self._log.read(STREAM, from_offset=0, limit=1), Success)

    async def _ask_peers(self) -> bool:
        """Adopt the highest state among a few peers.

        :returns: Whether a peer has a state, and this process one that is at least as high.
        """
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
        highest = max((offset for offset, _ in offsets), default=-1)
        return 0 <= highest <= self.store.offset

    async def _read_to_end(self, *, wait_s: float) -> bool:
        """Apply all records of the log above the state.

        :param wait_s: Longest wait for the first record when there is none.
        :returns: Whether the end of the log was reached.
        """
        while True:
            offset = self.store.offset
            read = await self._log.read(
                STREAM, from_offset=offset + 1, limit=PAGE_RECORDS, wait_s=wait_s
            )
            if not isinstance(read, Success):
                return False
            page = read.unwrap()
            # A push may have moved the state during the read.
            if page.oldest_offset > self.store.offset + 1:
                if not await self._adopt_snapshot():
                    return False
                continue
            self._exchange.take_page(page, now=self._clock())
            self._send_pushes()
            if self.store.offset + 1 >= page.end_offset:
                await self._offer_snapshot(page)
                return True
            if self.store.offset == offset:
                return False

    async def _offer_snapshot(self, page: LogPage) -> None:
        """Append a snapshot if the log is about to drop records that a new process needs."""
        now = self._clock()
        if self.store.offset < 0 or now < self._snapshot_after:
            return
        due_at_ms = snapshot_due_ms(
            needed_since_ms=self.store.needed_since_ms, retention_s=page.retention_s
        )
        if page.time_ms < due_at_ms:
            return
        if page.time_ms < due_at_ms + 1000 * SNAPSHOT_STEP_S * snapshot_rank(self._exchange.peers):
            return
        self._snapshot_after = now + SNAPSHOT_RETRY_S
        await self._log.append(STREAM, [make_snapshot(self.store.state)])

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
            elif not await self._read_to_end(wait_s=TAIL_WAIT_S):
                await asyncio.sleep(retry_pause_s(self._exchange.peers))

    async def _compare_with_peers(self) -> None:
        while True:
            self._refresh_peers()
            peer = self._exchange.choose_peer()
            if peer is not None:
                await self.pull(peer.control)
            await self._sleep_until_gap()

    async def _sleep_until_gap(self) -> None:
        """Sleep for the interval, or less if a push shows that records are missing."""
        await asyncio.sleep(COMPARE_MIN_INTERVAL_S)
        remaining_s = COMPARE_INTERVAL_S - COMPARE_MIN_INTERVAL_S
        try:
            await asyncio.wait_for(self._gap.wait(), remaining_s)
        except TimeoutError:
            pass
        self._gap.clear()

    def _take_answer(self, address: str, answer: Message) -> None:
        self._exchange.take_answer(address, answer, now=self._clock())
        self._send_pushes()

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
