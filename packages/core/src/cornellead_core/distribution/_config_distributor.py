"""Controller that follows the configuration log and gossips its records to peers."""

from __future__ import annotations

import asyncio
import random
import time
from typing import TYPE_CHECKING

import structlog
from returns.result import Success

from cornellead_core.config import STREAM
from cornellead_core.config import make_snapshot
from cornellead_core.distribution._config_exchange import PROBE_OFFSET
from cornellead_core.distribution._config_exchange import ConfigExchange
from cornellead_core.distribution._config_store import ConfigStore
from cornellead_core.distribution._log_read_policy import LOG_READERS_PER_DC
from cornellead_core.distribution._log_read_policy import SNAPSHOT_DELAY_PER_RANK_S
from cornellead_core.distribution._log_read_policy import log_reader_rank
from cornellead_core.distribution._log_read_policy import retry_delay_s
from cornellead_core.distribution._log_read_policy import snapshot_due_ms
from cornellead_core.distribution._log_read_policy import snapshot_rank
from cornellead_core.distribution._offset_numbers import MAX_ERA
from cornellead_core.distribution._offset_numbers import number_page
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
    from cornellead_core.platform import LogClient
    from cornellead_core.platform import LogPage
    from cornellead_core.settings import ProcessSettings
    from cornellead_core.wire import Message

COMPARE_INTERVAL_S = 1.0
MIN_COMPARE_INTERVAL_S = 0.1
LOG_LONG_POLL_S = 1.0
"""Maximum wait of a read at the end of the log; also bounds how late an outage is detected."""
READER_CHECK_INTERVAL_S = 0.25
SNAPSHOT_RETRY_INTERVAL_S = 5.0
"""Delay before another snapshot is appended; the first one is read back from the log by then."""
STARTUP_RETRY_INTERVAL_S = 0.5
HOST_LIST_TIMEOUT_S = 2.0
STARTUP_PEERS = 3
MAX_CONCURRENT_PUSHES = 16
"""Pushes in flight; an unresponsive peer occupies one until its request times out."""


class ConfigDistributor:
    """Controller that applies records from the log and from peers and pushes new ones to peers.

    A few processes of each data centre read the log. The others receive its records as pushes and
    compare offsets with a random peer, which repairs lost pushes.

    :param store: Store that records are applied to; a new one by default.
    :param clock: Returns monotonic seconds.
    :param rng: Selects random peers.
    """

    name = "config-distributor"

    def __init__(
        self,
        *,
        board: Blackboard,
        log: LogClient,
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
        self._logger = structlog.get_logger()
        self._hosts_revision = -1
        self._next_snapshot_at = float("-inf")
        self._next_rewrite_at = float("-inf")
        self._gap_detected = asyncio.Event()
        self._push_slots = asyncio.Semaphore(MAX_CONCURRENT_PUSHES)
        self._tasks: set[asyncio.Task[None]] = set()

    @property
    def is_designated_log_reader(self) -> bool:
        """Whether this process is one of its data centre's designated readers of the log."""
        return log_reader_rank(self._exchange.peers) < LOG_READERS_PER_DC

    async def handle(self, message: Message) -> Message | None:
        """Handle a control message and return the reply; ``None`` if it isn't a config message."""
        self._refresh_peers()
        reply = self._exchange.handle_request(message, now=self._clock())
        self._send_pushes()
        if self._exchange.pop_gap_detected():
            self._gap_detected.set()
        return reply

    async def pull(self, control_address: str) -> None:
        """Compare offsets with a peer and exchange the records that one side lacks.

        A failed request is ignored; the periodic comparison retries with another peer.

        :param control_address: ``ip:port`` of the peer's control listener.
        """
        request = self._exchange.make_offset_message(now=self._clock())
        reply = await self._client.request(control_address, request)
        if isinstance(reply, Success):
            self._handle_reply(control_address, reply.unwrap())

    async def run(self) -> None:
        """Load the initial state, then follow the log and compare with peers until cancelled."""
        try:
            await self._load_initial_state()
            async with asyncio.TaskGroup() as group:
                group.create_task(self._follow_log())
                group.create_task(self._compare_with_peers())
        finally:
            for task in self._tasks:
                task.cancel()

    async def _load_initial_state(self) -> None:
        await self._board.wait_change(HOSTS, revision=0, timeout_s=HOST_LIST_TIMEOUT_S)
        while True:
            self._refresh_peers()
            log_reachable, caught_up_with_peers = await asyncio.gather(
                self._is_log_reachable(), self._adopt_latest_peer_state()
            )
            if (log_reachable and await self._read_log_to_end(wait_s=0.0)) or caught_up_with_peers:
                break
            await asyncio.sleep(STARTUP_RETRY_INTERVAL_S)
        self._exchange.started = True
        self.store.publish()

    async def _is_log_reachable(self) -> bool:
        return isinstance(await self._log.read(STREAM, from_offset=0, limit=1), Success)

    async def _adopt_latest_peer_state(self) -> bool:
        """Adopt the state with the highest offset among a few random peers.

        :returns: Whether a peer has a state and this process is at or above the highest offset.
        """
        peers = self._exchange.peers.sample(self._rng, near=STARTUP_PEERS - 1, far=1)
        probe = ConfigOffset(PROBE_OFFSET)
        replies = await asyncio.gather(
            *(self._client.request(peer.control, probe) for peer in peers)
        )
        offsets = [
            (reply.unwrap().offset, peer.control)
            for peer, reply in zip(peers, replies, strict=True)
            if isinstance(reply, Success) and isinstance(reply.unwrap(), ConfigRecords)
        ]
        for offset, address in sorted(offsets, reverse=True):
            if offset <= self.store.offset:
                break
            state = await self._client.request(address, ConfigStateRequest())
            if isinstance(state, Success):
                self._handle_reply(address, state.unwrap())
        highest = max((offset for offset, _ in offsets), default=-1)
        return 0 <= highest <= self.store.offset

    async def _read_log_to_end(self, *, wait_s: float) -> bool:
        """Apply all log records after the current offset.

        :param wait_s: Maximum wait of each read when there is no new record.
        :returns: Whether the end of the log was reached.
        """
        while True:
            offset = self.store.offset
            read = await self._log.read(
                STREAM,
                from_offset=self.store.state.offset + 1,
                limit=PAGE_RECORDS,
                wait_s=wait_s,
            )
            if not isinstance(read, Success):
                return False
            page = number_page(read.unwrap(), era=self.store.era)
            if not self.store.era <= page.era <= MAX_ERA:
                return False
            if page.era > self.store.era:
                self._begin_era(page)
                continue
            # A push may have advanced the offset while the read was in flight.
            if page.oldest_offset > self.store.offset + 1:
                if not await self._adopt_snapshot_from_log():
                    return False
                continue
            self._exchange.apply_log_page(page, now=self._clock())
            self._send_pushes()
            if self.store.offset + 1 >= page.end_offset:
                await self._append_lost_changes()
                await self._append_snapshot_if_due(page)
                return True
            if self.store.offset == offset:
                return False

    def _begin_era(self, page: LogPage) -> None:
        self._logger.warning("config_era_changed", era_before=self.store.era, era=page.era)
        self.store.begin_era(page.era, restored_ms=page.restored_ms)
        rank = snapshot_rank(self._exchange.peers)
        self._next_rewrite_at = self._clock() + SNAPSHOT_DELAY_PER_RANK_S * rank

    async def _append_lost_changes(self) -> None:
        """Append the changes that a restored log lacks, one process after the other."""
        now = self._clock()
        changes = self.store.lost_changes()
        if not changes or now < self._next_rewrite_at:
            return
        self._next_rewrite_at = now + SNAPSHOT_RETRY_INTERVAL_S
        await self._log.append(STREAM, [change.to_record() for change in changes])

    async def _append_snapshot_if_due(self, page: LogPage) -> None:
        """Append a snapshot before the log's retention drops records that a new process needs."""
        now = self._clock()
        if self.store.offset < 0 or now < self._next_snapshot_at:
            return
        due_at_ms = snapshot_due_ms(
            oldest_needed_ms=self.store.oldest_needed_ms, retention_s=page.retention_s
        )
        if page.time_ms < due_at_ms:
            return
        if page.time_ms < due_at_ms + 1000 * SNAPSHOT_DELAY_PER_RANK_S * snapshot_rank(
            self._exchange.peers
        ):
            return
        self._next_snapshot_at = now + SNAPSHOT_RETRY_INTERVAL_S
        await self._log.append(STREAM, [make_snapshot(self.store.state)])

    async def _adopt_snapshot_from_log(self) -> bool:
        found = await find_snapshot(self._log)
        if not isinstance(found, Success):
            return False
        state, time_ms = found.unwrap()
        return self.store.adopt(state, oldest_needed_ms=time_ms)

    async def _follow_log(self) -> None:
        while True:
            self._refresh_peers()
            if not self._exchange.should_read_log(now=self._clock()):
                await asyncio.sleep(READER_CHECK_INTERVAL_S)
            elif not await self._read_log_to_end(wait_s=LOG_LONG_POLL_S):
                await asyncio.sleep(retry_delay_s(self._exchange.peers))

    async def _compare_with_peers(self) -> None:
        while True:
            self._refresh_peers()
            peer = self._exchange.choose_peer()
            if peer is not None:
                await self.pull(peer.control)
            await self._wait_for_next_comparison()

    async def _wait_for_next_comparison(self) -> None:
        """Sleep for the compare interval, or less when a push reveals missing records."""
        await asyncio.sleep(MIN_COMPARE_INTERVAL_S)
        remaining_s = COMPARE_INTERVAL_S - MIN_COMPARE_INTERVAL_S
        try:
            await asyncio.wait_for(self._gap_detected.wait(), remaining_s)
        except TimeoutError:
            pass
        self._gap_detected.clear()

    def _handle_reply(self, address: str, reply: Message) -> None:
        self._exchange.handle_reply(address, reply, now=self._clock())
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
        for push in self._exchange.pop_pushes():
            task = asyncio.create_task(self._send_push(push))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _send_push(self, push: Push) -> None:
        async with self._push_slots:
            await self._client.request(push.address, push.message)
