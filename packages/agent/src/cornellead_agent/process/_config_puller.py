"""Updates the configuration to the highest offset received in a request."""

from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING

from cornellead_agent.facts import REQUIRED_CONFIG_OFFSET
from cornellead_core.facts import CONFIG
from cornellead_core.facts import HOSTS
from cornellead_core.platform import HostKind

if TYPE_CHECKING:
    from cornellead_core.blackboard import Blackboard
    from cornellead_core.distribution import ConfigDistributor
    from cornellead_core.settings import ProcessSettings

RECHECK_INTERVAL_S = 5.0
RETRY_DELAY_S = 0.05
MAX_PEERS = 2
"""Routers to pull from at a time; a request does not name the router that sent it."""


class ConfigPuller:
    """Controller that pulls the configuration from routers while it is older than required.

    Meanwhile the agent refuses requests with ``stale_config``.
    """

    name = "config-puller"

    def __init__(
        self, *, board: Blackboard, distributor: ConfigDistributor, settings: ProcessSettings
    ) -> None:
        self._board = board
        self._distributor = distributor
        self._settings = settings
        self._rng = random.Random(settings.name)

    async def run(self) -> None:
        """Pull whenever a request carried a newer offset; runs until cancelled."""
        while True:
            revision = self._board.revision(REQUIRED_CONFIG_OFFSET)
            if self._board.read(CONFIG).offset >= self._board.read(REQUIRED_CONFIG_OFFSET):
                await self._board.wait_change(
                    REQUIRED_CONFIG_OFFSET, revision=revision, timeout_s=RECHECK_INTERVAL_S
                )
                continue
            await asyncio.gather(*(self._distributor.pull(peer) for peer in self._choose_peers()))
            await asyncio.sleep(RETRY_DELAY_S)

    def _choose_peers(self) -> list[str]:
        routers = [host for host in self._board.read(HOSTS) if host.kind is HostKind.ROUTER]
        same_dc = [host.control for host in routers if host.dc == self._settings.dc]
        candidates = same_dc or [host.control for host in routers]
        return self._rng.sample(candidates, min(MAX_PEERS, len(candidates)))
