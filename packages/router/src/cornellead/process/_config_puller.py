"""Pulls the configuration from a peer that has a newer one."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from cornellead_core.distribution import ConfigDistributor


class ConfigPuller:
    """Runs one pull at a time, in the background of the responses that ask for it."""

    name = "config-puller"

    def __init__(self, *, distributor: ConfigDistributor) -> None:
        self._distributor = distributor
        self._addresses: asyncio.Queue[str] = asyncio.Queue(1)

    def request(self, address: str) -> None:
        """Ask for a pull; dropped while another one waits.

        :param address: ``ip:port`` of the peer's control listener.
        """
        if not self._addresses.full():
            self._addresses.put_nowait(address)

    async def run(self) -> None:
        """Pull until cancelled."""
        while True:
            await self._distributor.pull(await self._addresses.get())
