"""Background pull of a newer configuration from a peer."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from cornellead_core.distribution import ConfigDistributor


class ConfigPuller:
    """Pulls the configuration from one peer at a time, outside of request handling."""

    name = "config-puller"

    def __init__(self, *, distributor: ConfigDistributor) -> None:
        self._distributor = distributor
        self._addresses: asyncio.Queue[str] = asyncio.Queue(1)

    def request_pull(self, address: str) -> None:
        """Queue a pull from a peer; ignored while another one is queued.

        :param address: ``ip:port`` of the peer's control listener.
        """
        if not self._addresses.full():
            self._addresses.put_nowait(address)

    async def run(self) -> None:
        """Run queued pulls until cancelled."""
        while True:
            await self._distributor.pull(await self._addresses.get())
