"""Controller that follows the platform's host list."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from returns.result import Success

from cornellead_core.facts import HOSTS

if TYPE_CHECKING:
    from cornellead_core.blackboard import Blackboard
    from cornellead_core.platform import HostList

WATCH_INTERVAL_S = 0.5
WATCH_INTERVAL_PER_HOST_S = 0.001
"""Keeps the reads of a large list, which takes longer to decode, below one core in fifty."""


class HostListWatcher:
    """Writes the `HOSTS` fact; the last list that could be read stays during an outage."""

    name = "host-list-watcher"

    def __init__(self, *, board: Blackboard, host_list: HostList) -> None:
        self._board = board
        self._host_list = host_list
        self.failures = 0

    async def run(self) -> None:
        """Read the list until cancelled."""
        while True:
            await self.refresh()
            hosts = len(self._board.read(HOSTS))
            await asyncio.sleep(max(WATCH_INTERVAL_S, hosts * WATCH_INTERVAL_PER_HOST_S))

    async def refresh(self) -> None:
        """Read the list once."""
        fetched = await self._host_list.fetch()
        # This process is on a host, so an empty list is an error of the platform.
        if not isinstance(fetched, Success) or not fetched.unwrap():
            self.failures += 1
            return
        hosts = tuple(sorted(fetched.unwrap()))
        if hosts != self._board.read(HOSTS):
            self._board.write(HOSTS, hosts)
