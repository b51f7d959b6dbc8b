"""Controller that follows the platform's host list and gossips its changes to peers."""

from __future__ import annotations

import asyncio
import random
import time
from typing import TYPE_CHECKING

from returns.result import Success

from cornellead_core.distribution._host_view import ChangeResult
from cornellead_core.distribution._host_view import HostView
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
"""Age of the list at which a process that is not a designated reader reads the platform itself."""
TAKEOVER_AGE_PER_RANK_S = 0.2
"""Added per rank to `TAKEOVER_AGE_S`, so that only a few processes take over at the same time."""
MAX_TAKEOVER_AGE_S = 10.0
PUSH_PEERS_SAME_DC = 4
PUSH_PEERS_OTHER_DC = 1


class HostDistributor:
    """Controller that writes the `HOSTS` fact, which keeps the last list during an outage.

    In each data centre the first two processes by rank read the list from the platform. The others
    receive changes from peers: if each of 1,330 processes read a list of 1,330 hosts twice a
    second, the traffic would exceed the budget of 3 KB/s per node by a factor of 100.

    :param clock: Returns monotonic seconds.
    :param rng: Selects random peers.
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
        self.read_failures = 0
        self.reads = 0

    async def handle(self, message: Message) -> Message | None:
        """Handle a control message and return the reply; ``None`` if it isn't about hosts."""
        now = self._clock()
        match message:
            case HostDigest():
                self._view.update_read_time(message, now=now)
                if self._view.supersedes(message, now=now):
                    return self._view.snapshot(now=now)
                return self._view.digest(now=now)
            case HostChanges():
                if self._view.apply_changes(message, now=now) is ChangeResult.APPLIED:
                    self._publish()
                    self._push(message)
                return self._view.digest(now=now)
        return None

    async def run(self) -> None:
        """Read the list and compare it with peers until cancelled."""
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(self._read_list())
                group.create_task(self._compare_with_peers())
        finally:
            for task in self._tasks:
                task.cancel()

    def should_read_list(self) -> bool:
        """Return whether this process should read the platform's list now."""
        if self._rank < READERS_PER_DC:
            return True
        takeover_age_s = min(
            MAX_TAKEOVER_AGE_S, TAKEOVER_AGE_S + TAKEOVER_AGE_PER_RANK_S * self._rank
        )
        return self._view.read_age_s(now=self._clock()) > takeover_age_s

    async def refresh(self) -> None:
        """Read the platform's list once; publish and push what changed."""
        self.reads += 1
        fetched = await self._host_list.fetch()
        # The list must contain at least this process's host; an empty one is a platform error.
        if not isinstance(fetched, Success) or not fetched.unwrap():
            self.read_failures += 1
            return
        is_first_list = not self._view.hosts
        changes = self._view.apply_fetched_list(fetched.unwrap(), now=self._clock())
        if changes is None:
            return
        self._publish()
        if not is_first_list:
            self._push(changes)

    async def compare_with(self, peer: HostEntry) -> None:
        """Compare digests with a peer and adopt its list if that list changed later."""
        digest = self._view.digest(now=self._clock())
        reply = await self._client.request(peer.control, digest)
        if not isinstance(reply, Success):
            return
        now = self._clock()
        match reply.unwrap():
            case HostDigest() as theirs:
                self._view.update_read_time(theirs, now=now)
            case HostSnapshot() as snapshot:
                if self._view.apply_snapshot(snapshot, now=now):
                    self._publish()

    async def _read_list(self) -> None:
        while True:
            if self.should_read_list():
                await self.refresh()
            await asyncio.sleep(READ_INTERVAL_S)

    async def _compare_with_peers(self) -> None:
        while True:
            await asyncio.sleep(COMPARE_INTERVAL_S)
            for peer in self._peers.sample(self._rng, near=1, far=0):
                await self.compare_with(peer)

    def _publish(self) -> None:
        hosts = self._view.hosts
        self._peers = Peers(hosts=hosts, name=self._settings.name, dc=self._settings.dc)
        self._rank = self._peers.rank(f"hosts/{self._peers.dc}", dc=self._peers.dc)
        self._board.write(HOSTS, hosts)

    def _push(self, changes: HostChanges) -> None:
        for peer in self._peers.sample(self._rng, near=PUSH_PEERS_SAME_DC, far=PUSH_PEERS_OTHER_DC):
            task = asyncio.create_task(self._send_changes(peer.control, changes))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _send_changes(self, address: str, changes: HostChanges) -> None:
        await self._client.request(address, changes)
