"""Controller that pulls the configuration when a router has a newer one."""

from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING

from cornellead_agent.facts import NEEDED_CONFIG
from cornellead_core.facts import CONFIG
from cornellead_core.facts import HOSTS
from cornellead_core.platform import HostKind
from cornellead_core.platform import HostState

if TYPE_CHECKING:
    from cornellead_core.blackboard import Blackboard
    from cornellead_core.distribution import ConfigDistributor

IDLE_S = 5.0
RETRY_S = 0.05
ROUTERS = 3
"""Routers asked at a time; one of them is likely to have the change that a request named."""


class ConfigPuller:
    """Shortens the time in which an agent refuses `stale_config`."""

    name = "config-puller"

    def __init__(self, *, board: Blackboard, distributor: ConfigDistributor, dc: str) -> None:
        self._board = board
        self._distributor = distributor
        self._dc = dc
        self._rng = random.Random()

    async def run(self) -> None:
        """Pull until cancelled."""
        while True:
            revision = self._board.revision(NEEDED_CONFIG)
            if self._board.read(NEEDED_CONFIG) <= self._board.read(CONFIG).offset:
                await self._board.wait_change(NEEDED_CONFIG, revision=revision, timeout_s=IDLE_S)
                continue
            addresses = self._choose_routers()
            await asyncio.gather(*(self._distributor.pull(address) for address in addresses))
            await asyncio.sleep(RETRY_S)

    def _choose_routers(self) -> list[str]:
        routers = [
            host
            for host in self._board.read(HOSTS)
            if host.kind is HostKind.ROUTER and host.state is HostState.LIVE
        ]
        self._rng.shuffle(routers)
        routers.sort(key=lambda host: host.dc != self._dc)
        return [host.control for host in routers[:ROUTERS]]
