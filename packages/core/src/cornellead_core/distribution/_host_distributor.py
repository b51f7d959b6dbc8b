"""Controller that follows the platform's host list and passes changes on."""

from __future__ import annotations

import asyncio
import random
import time
from typing import TYPE_CHECKING

from returns.result import Success

from cornellead_core.distribution._host_view import HostView
from cornellead_core.distribution._host_view import Taken
from cornellead_core.facts import HOSTS
from cornellead_core.membership import Peers
from cornellead_core.wire import HostChanges
from cornellead_core.wire import HostDigest
from cornellead_core.wire import HostSnapshot

if TYPE_CHECKING:
    from collections.abc import Callable

    from cornellead_core.blackboard import Blackboard
    from cornellead_core.distribution._control_requester import ControlRequester
    from cornellead_core.platform import HostEntry
    from cornellead_core.platform import HostList
    from cornellead_core.settings import ProcessSettings
    from cornellead_core.wire import Message

READERS_PER_DC = 2
READ_INTERVAL_S = 0.5
COMPARE_INTERVAL_S = 1.0
TAKEOVER_AGE_S = 3.0
"""Age of the list at which a process that is not a reader reads the platform itself."""
TAKEOVER_STEP_S = 0.2
"""Added per rank, so that few processes of a data centre take over at once."""
MAX_TAKEOVER_AGE_S = 10.0
PUSH_NEAR = 4
PUSH_FAR = 1


class HostDistributor:
    """Keeps the `HOSTS` fact; the last known list stays during an outage.

    In each data centre the first two processes by rank read the list. The others get its changes
    from peers, because 1,330 processes that each read a list of 1,330 hosts twice a second would
    exceed the budget of 3 KB/s a node by a factor of 100.

    :param clock: Monotonic seconds.
    :param rng: Chooses peers.
    """

    name = "host-distributor"

    def __init__(
        self,
        *,
        board: Blackboard,
        host_list: HostList,
        client: ControlRequester,
        settings: ProcessSettings,
        clock: Callable[[], float] = time.monotonic,
        rng: random.Random | None = None,
    ) -> None:
        self._board = board
        self._host_list = host_list
        self._client = client
        self._settings = settings
        self._clock = clock
        self._rng = rng or random.Random()
        self._view = HostView()
        self._peers = Peers(hosts=(), name=settings.name, dc=settings.dc)
        self._rank = 0
        self._tasks: set[asyncio.Task[None]] = set()
        self.failures = 0
        self.reads = 0

    async def handle(self, message: Message) -> Message | None:
        """Answer a control message, or return ``None`` if it is not about hosts."""
        now = self._clock()
        match message:
            case HostDigest():
                self._view.confirm(message, now=now)
                if self._view.replaces(message, now=now):
                    return self._view.snapshot(now=now)
                return self._view.digest(now=now)
            case HostChanges():
                if self._view.take_changes(message, now=now) is Taken.APPLIED:
                    self._publish()
                    self._push(message)
                return self._view.digest(now=now)
        return None

    async def run(self) -> None:
        """Read and compare until cancelled."""
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(self._read_list())
                group.create_task(self._compare_with_peers())
        finally:
            for task in self._tasks:
                task.cancel()

    def reads_list(self) -> bool:
        """Return whether this process reads the platform's list now."""
        if self._rank < READERS_PER_DC:
            return True
        patience_s = min(MAX_TAKEOVER_AGE_S, TAKEOVER_AGE_S + TAKEOVER_STEP_S * self._rank)
        return self._view.read_age_s(now=self._clock()) > patience_s

    async def refresh(self) -> None:
        """Read the platform's list once."""
        self.reads += 1
        fetched = await self._host_list.fetch()
        # This process is on a host, so an empty list is an error of the platform.
        if not isinstance(fetched, Success) or not fetched.unwrap():
            self.failures += 1
            return
        first = not self._view.hosts
        changes = self._view.take_list(fetched.unwrap(), now=self._clock())
        if changes is None:
            return
        self._publish()
        if not first:
            self._push(changes)

    async def compare(self, peer: HostEntry) -> None:
        """Compare the list with one peer's and take the peer's if it was read later."""
        digest = self._view.digest(now=self._clock())
        answer = await self._client.request(peer.control, digest)
        if not isinstance(answer, Success):
            return
        now = self._clock()
        match answer.unwrap():
            case HostDigest() as theirs:
                self._view.confirm(theirs, now=now)
            case HostSnapshot() as snapshot:
                if self._view.take_snapshot(snapshot, now=now):
                    self._publish()

    async def _read_list(self) -> None:
        while True:
            if self.reads_list():
                await self.refresh()
            await asyncio.sleep(READ_INTERVAL_S)

    async def _compare_with_peers(self) -> None:
        while True:
            await asyncio.sleep(COMPARE_INTERVAL_S)
            for peer in self._peers.sample(self._rng, near=1, far=0):
                await self.compare(peer)

    def _publish(self) -> None:
        hosts = self._view.hosts
        self._peers = Peers(hosts=hosts, name=self._settings.name, dc=self._settings.dc)
        self._rank = self._peers.rank(f"hosts/{self._peers.dc}", dc=self._peers.dc)
        self._board.write(HOSTS, hosts)

    def _push(self, changes: HostChanges) -> None:
        for peer in self._peers.sample(self._rng, near=PUSH_NEAR, far=PUSH_FAR):
            task = asyncio.create_task(self._send(peer.control, changes))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _send(self, address: str, changes: HostChanges) -> None:
        await self._client.request(address, changes)
