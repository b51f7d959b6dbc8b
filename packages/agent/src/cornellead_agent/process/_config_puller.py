"""Brings the configuration up to the highest offset seen in a request."""

from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING

from cornellead_agent.facts import NEEDED_CONFIG
from cornellead_core.facts import CONFIG
from cornellead_core.facts import HOSTS
from cornellead_core.platform import HostKind

if TYPE_CHECKING:
    from cornellead_core.blackboard import Blackboard
    from cornellead_core.distribution import ConfigDistributor
    from cornellead_core.settings import ProcessSettings

CHECK_S = 5.0
RETRY_S = 0.05
PEERS = 2
"""Routers asked at a time; the one that sent the request is not named in it."""


class ConfigPuller:
    """Controller that pulls from routers while this agent refuses with ``stale_config``."""

    name = "config-puller"

    def __init__(
        self, *, board: Blackboard, distributor: ConfigDistributor, settings: ProcessSettings
    ) -> None:
        self._board = board
        self._distributor = distributor
        self._settings = settings
        self._rng = random.Random(settings.name)

    async def run(self) -> None:
        """Pull until cancelled."""
        while True:
            revision = self._board.revision(NEEDED_CONFIG)
            if self._board.read(CONFIG).offset >= self._board.read(NEEDED_CONFIG):
                await self._board.wait_change(NEEDED_CONFIG, revision=revision, timeout_s=CHECK_S)
                continue
            await asyncio.gather(*(self._distributor.pull(peer) for peer in self._choose_peers()))
            await asyncio.sleep(RETRY_S)

    def _choose_peers(self) -> list[str]:
        routers = [host for host in self._board.read(HOSTS) if host.kind is HostKind.ROUTER]
        near = [host.control for host in routers if host.dc == self._settings.dc]
        candidates = near or [host.control for host in routers]
        return self._rng.sample(candidates, min(PEERS, len(candidates)))
