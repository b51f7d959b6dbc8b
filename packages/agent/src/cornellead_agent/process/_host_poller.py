"""Reads the host list until the shared watcher replaces it."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from returns.result import Success

from cornellead_core.facts import HOSTS

if TYPE_CHECKING:
    from cornellead_core.blackboard import Blackboard
    from cornellead_core.platform import HostList

POLL_INTERVAL_S = 0.5


class HostPoller:
    """Controller that writes the `HOSTS` fact."""

    name = "host-poller"

    def __init__(self, *, board: Blackboard, hosts: HostList) -> None:
        self._board = board
        self._hosts = hosts

    async def run(self) -> None:
        """Poll until cancelled."""
        while True:
            fetched = await self._hosts.fetch()
            if isinstance(fetched, Success):
                self._board.write(HOSTS, tuple(fetched.unwrap()))
            await asyncio.sleep(POLL_INTERVAL_S)
