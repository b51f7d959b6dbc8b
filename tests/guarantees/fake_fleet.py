"""Simulated fleet: real configuration distributors, fake log and network, virtual time."""

from __future__ import annotations

import asyncio
import random
import selectors
from typing import TYPE_CHECKING
from typing import Any

from returns.result import Failure
from returns.result import Result
from returns.result import Success

from cornellead_core.auth import FleetKey
from cornellead_core.blackboard import Blackboard
from cornellead_core.config import STREAM
from cornellead_core.config import ChangeRecord
from cornellead_core.config import ConfigState
from cornellead_core.config import reduce_record
from cornellead_core.distribution import ConfigDistributor
from cornellead_core.facts import CONFIG
from cornellead_core.facts import HOSTS
from cornellead_core.platform import AppendError
from cornellead_core.platform import HostEntry
from cornellead_core.platform import HostKind
from cornellead_core.platform import LogPage
from cornellead_core.platform import LogRecord
from cornellead_core.platform import PlatformError
from cornellead_core.settings import ProcessSettings
from cornellead_core.wire import Ack
from cornellead_core.wire import Message
from cornellead_core.wire import Traffic
from cornellead_core.wire import decode_message
from cornellead_core.wire import encode_message

if TYPE_CHECKING:
    from collections.abc import Coroutine
    from collections.abc import Mapping
    from collections.abc import Sequence

START_TIME_MS = 1_000_000
MODEL = "m"
REQUEST_TIMEOUT_S = 0.5
KEY = FleetKey(secret=b"0123456789abcdef")


class _VirtualSelector(selectors.SelectSelector):
    """Advances the clock of its event loop by the timeout instead of waiting for it."""

    now = 0.0

    def select(self, timeout: float | None = None) -> list[Any]:
        assert timeout is not None, "deadlock: no task is ready and no timer is scheduled"
        self.now += max(0.0, timeout)
        return super().select(0)


class VirtualLoop(asyncio.SelectorEventLoop):
    """Event loop in virtual time, which advances only while no task is ready to run."""

    def __init__(self) -> None:
        self._virtual_selector = _VirtualSelector()
        super().__init__(self._virtual_selector)

    def time(self) -> float:
        """Return the virtual time in seconds."""
        return self._virtual_selector.now


class FakeLog:
    """Log service in memory; reads drop records older than ``retention_s``."""

    def __init__(self, *, loop: VirtualLoop, retention_s: float = 1e9) -> None:
        self._loop = loop
        self.retention_s = retention_s
        self.retained: list[LogRecord] = []
        self.all_records: list[LogRecord] = []
        self.state_by_offset: dict[int, ConfigState] = {-1: ConfigState()}
        """Configuration state after each offset, as computed by the reducer."""
        self.down = False
        self._era = 0
        self._restored_ms = 0
        self.unacknowledged_appends = 0
        """Number of following appends that are stored but reported with an unknown outcome."""
        self._blocked_reads: set[asyncio.Future[None]] = set()

    @property
    def time_ms(self) -> int:
        """Time of the log's clock, in milliseconds."""
        return START_TIME_MS + round(self._loop.time() * 1000)

    def append_record(self, value: Mapping[str, Any]) -> int:
        """Append a record without the delay and faults of `append`; return its offset."""
        record = LogRecord(len(self.all_records), self.time_ms, dict(value))
        self.all_records.append(record)
        self.retained.append(record)
        self.state_by_offset[record.offset] = reduce_record(
            self.state_by_offset[record.offset - 1], record
        )[0]
        for fut in self._blocked_reads:
            if not fut.done():
                fut.set_result(None)
        self._blocked_reads.clear()
        return record.offset

    def restore(self, records: Sequence[LogRecord]) -> None:
        """Come back from a copy of all records: later offsets are given out again, in a new era."""
        self.all_records, self.retained = list(records), list(records)
        self._era += 1
        self._restored_ms = self.time_ms

    async def append(
        self, stream: str, values: Sequence[Mapping[str, Any]]
    ) -> Result[int, AppendError]:
        """Append records as a client, subject to outages and unacknowledged appends."""
        assert stream == STREAM
        await asyncio.sleep(0.002)
        if self.down:
            return Failure(AppendError.REJECTED)
        first, *_ = [self.append_record(value) for value in values]
        if self.unacknowledged_appends:
            self.unacknowledged_appends -= 1
            return Failure(AppendError.UNKNOWN)
        return Success(first)

    async def read(
        self, stream: str, *, from_offset: int, limit: int = 1000, wait_s: float = 0.0
    ) -> Result[LogPage, PlatformError]:
        """Read a page of records; wait up to ``wait_s`` for the first one."""
        assert stream == STREAM
        await asyncio.sleep(0.002)
        if not self.down and wait_s and from_offset >= len(self.all_records):
            fut = self._loop.create_future()
            self._blocked_reads.add(fut)
            await asyncio.wait([fut], timeout=wait_s)
            self._blocked_reads.discard(fut)
        if self.down:
            return Failure(PlatformError("outage"))
        oldest_ms = self.time_ms - self.retention_s * 1000
        self.retained = [record for record in self.retained if record.time_ms >= oldest_ms]
        end = len(self.all_records)
        oldest = self.retained[0].offset if self.retained else end
        records = [record for record in self.retained if record.offset >= from_offset][:limit]
        next_offset = records[-1].offset + 1 if records else max(from_offset, oldest)
        page = LogPage(records, next_offset, oldest, end, self.retention_s, self.time_ms)
        return Success(page._replace(era=self._era, restored_ms=self._restored_ms))


class _NodeLog:
    """Connection of one process to the log, which tests can cut."""

    def __init__(self, log: FakeLog) -> None:
        self._log = log
        self.disconnected = False

    async def append(
        self, stream: str, values: Sequence[Mapping[str, Any]]
    ) -> Result[int, AppendError]:
        if self.disconnected:
            return Failure(AppendError.REJECTED)
        return await self._log.append(stream, values)

    async def read(
        self, stream: str, *, from_offset: int, limit: int = 1000, wait_s: float = 0.0
    ) -> Result[LogPage, PlatformError]:
        if not self.disconnected:
            page = await self._log.read(stream, from_offset=from_offset, limit=limit, wait_s=wait_s)
            if not self.disconnected:
                return page
        return Failure(PlatformError("cut off"))


class _MonotonicBoard(Blackboard):
    """Blackboard that rejects a configuration with an offset not above the present one."""

    def write(self, fact: Any, value: Any) -> None:
        if fact is CONFIG:
            assert (
                value.offset > self.read(CONFIG).offset
            ), "the configuration offset did not increase"
        super().write(fact, value)


class FakeNode:
    """One process of the fleet: a blackboard and a running configuration distributor."""

    def __init__(self, fleet: FakeFleet, entry: HostEntry, *, seed: int) -> None:
        self._fleet = fleet
        self.entry = entry
        self.traffic = Traffic()
        self.board = _MonotonicBoard()
        self.log = _NodeLog(fleet.log)
        settings = ProcessSettings(
            entry.name, entry.region, entry.dc, entry.http, entry.control, "", "k" * 16
        )
        self.distributor = ConfigDistributor(
            board=self.board,
            log=self.log,
            client=self,
            settings=settings,
            clock=fleet.loop.time,
            rng=random.Random(seed),
        )
        self.task = fleet.loop.create_task(self.distributor.run())

    @property
    def offset(self) -> int:
        """Offset of the configuration in force."""
        return self.board.read(CONFIG).offset

    async def request(self, address: str, message: Message) -> Result[Message, str]:
        """Send a message to another process, as the control client of the distributor."""
        return await self._fleet.network.request(self, address, message)


class FakeNetwork:
    """Network that can delay, reorder, duplicate and lose messages."""

    def __init__(self, *, fleet: FakeFleet, seed: int) -> None:
        self._fleet = fleet
        self._rng = random.Random(seed)
        self.loss = 0.0
        self.duplicates = 0.0
        self.max_delay_s = 0.004
        self.partition_by_node: dict[str, int] = {}
        """Network partition: side by process name, 0 by default.

        Processes on different sides cannot reach each other.
        """
        self._duplicate_tasks: set[asyncio.Task[Message | None]] = set()

    async def request(
        self, sender: FakeNode, address: str, message: Message
    ) -> Result[Message, str]:
        """Deliver a request and return the reply, or fail after the request timeout."""
        request_bytes = encode_message(message, key=KEY)
        sender.traffic.count_sent(request_bytes)
        await asyncio.sleep(self._rng.uniform(0.0005, self.max_delay_s))
        receiver = self._fleet.nodes_by_address.get(address)
        if receiver is None or self._is_lost(sender, receiver):
            return await self._wait_for_timeout()
        reply = await self._deliver(receiver, request_bytes)
        if self._rng.random() < self.duplicates:
            self._duplicate_tasks.add(
                asyncio.create_task(self._deliver_duplicate(receiver, request_bytes))
            )
        await asyncio.sleep(self._rng.uniform(0.0005, self.max_delay_s))
        if self._is_lost(sender, receiver):
            return await self._wait_for_timeout()
        reply_bytes = encode_message(reply, key=KEY)
        receiver.traffic.count_sent(reply_bytes)
        sender.traffic.count_received(reply_bytes)
        return decode_message(reply_bytes, key=KEY)

    def _is_lost(self, sender: FakeNode, receiver: FakeNode) -> bool:
        sides = [self.partition_by_node.get(node.entry.name, 0) for node in (sender, receiver)]
        return sides[0] != sides[1] or self._rng.random() < self.loss

    async def _wait_for_timeout(self) -> Result[Message, str]:
        await asyncio.sleep(REQUEST_TIMEOUT_S)
        return Failure("timed out")

    async def _deliver(self, receiver: FakeNode, request_bytes: bytes) -> Message:
        receiver.traffic.count_received(request_bytes)
        message = decode_message(request_bytes, key=KEY).unwrap()
        return await receiver.distributor.handle(message) or Ack()

    async def _deliver_duplicate(self, receiver: FakeNode, request_bytes: bytes) -> Message | None:
        await asyncio.sleep(self._rng.uniform(0.1, 5.0))
        return await self._deliver(receiver, request_bytes) if not receiver.task.done() else None


class FakeFleet:
    """Processes in several data centres; virtual time advances only in `run` and `complete`.

    :param sizes: Number of processes by data centre.
    :param retention_s: Retention time of the log, in seconds.
    """

    def __init__(
        self, sizes: Mapping[str, int], *, seed: int = 1, retention_s: float = 1e9
    ) -> None:
        self.loop = VirtualLoop()
        self.rng = random.Random(seed)
        self.log = FakeLog(loop=self.loop, retention_s=retention_s)
        self.network = FakeNetwork(fleet=self, seed=seed)
        self.host_list_down = False
        self.hosts: dict[str, HostEntry] = {}
        self.nodes: dict[str, FakeNode] = {}
        self.nodes_by_address: dict[str, FakeNode] = {}
        for dc, size in sizes.items():
            for index in range(size):
                name = f"{dc}-{index}"
                address = f"{name}:1"
                self.hosts[name] = HostEntry(
                    name, HostKind.AGENT, "region", dc, address, address, models=(MODEL,)
                )
        for name in self.hosts:
            self.start(name)

    def start(self, name: str) -> FakeNode:
        """Start a process of the host list; a running one with that name is stopped first."""
        self.stop(name)
        entry = self.hosts[name]
        node = FakeNode(self, entry, seed=self.rng.getrandbits(32))
        self.nodes[name] = self.nodes_by_address[entry.control] = node
        if not self.host_list_down:
            node.board.write(HOSTS, tuple(self.hosts.values()))
        return node

    def stop(self, name: str) -> None:
        """Stop a process abruptly; its peers are not notified."""
        node = self.nodes.pop(name, None)
        if node is not None:
            self.nodes_by_address.pop(node.entry.control, None)
            node.task.cancel()

    def publish_hosts(self) -> None:
        """Write the present host list to the blackboard of every process."""
        for node in self.nodes.values():
            node.board.write(HOSTS, tuple(self.hosts.values()))

    def run(self, seconds: float) -> None:
        """Advance virtual time, then raise the exception of any process that failed."""
        self.run_coroutine(asyncio.sleep(seconds))
        for node in self.nodes.values():
            if node.task.done():
                node.task.result()

    def run_coroutine(self, coroutine: Coroutine[Any, Any, Any]) -> Any:
        """Run a coroutine until it completes and return its result."""
        return self.loop.run_until_complete(coroutine)

    def run_until_all_apply(self, offset: int, *, timeout_s: float) -> float:
        """Advance time until every process has the offset in force; return the elapsed seconds."""
        start = self.loop.time()
        while self.min_offset < offset:
            lagging = {n: node.offset for n, node in self.nodes.items() if node.offset < offset}
            assert self.loop.time() - start <= timeout_s, f"not at {offset}: {lagging}"
            self.run(0.01)
        return self.loop.time() - start

    @property
    def min_offset(self) -> int:
        """Lowest offset in force at any process."""
        return min(node.offset for node in self.nodes.values())

    def publish(
        self, objects: dict[str, Any], *, base: int | None = None, author: str = "a"
    ) -> int:
        """Append a configuration change to the log and return its offset.

        :param base: Offset on which the change is based; the end of the log by default.
        """
        offset = len(self.log.all_records)
        base = offset - 1 if base is None else base
        change = ChangeRecord(f"{author}-{offset}", author, base, objects)
        return self.log.append_record(change.to_record())

    def close(self) -> None:
        """Stop all processes, cancel the remaining tasks and close the event loop."""
        for name in list(self.nodes):
            self.stop(name)
        pending = asyncio.all_tasks(self.loop)
        for task in pending:
            task.cancel()
        self.loop.run_until_complete(asyncio.gather(*pending, return_exceptions=True))
        self.loop.close()
