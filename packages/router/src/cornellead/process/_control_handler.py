"""Dispatch of control messages from peers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cornellead_core.wire import Ack
from cornellead_core.wire import ShareRequest

if TYPE_CHECKING:
    from cornellead.limits import ShareController
    from cornellead_core.distribution import ConfigDistributor
    from cornellead_core.distribution import HostDistributor
    from cornellead_core.wire import Message


class ControlHandler:
    """Passes each control message to the component that replies to its type."""

    def __init__(
        self,
        *,
        distributor: ConfigDistributor,
        hosts: HostDistributor,
        shares: ShareController,
    ) -> None:
        self._distributor = distributor
        self._hosts = hosts
        self._shares = shares

    async def handle(self, message: Message) -> Message:
        """Return the reply; messages of an unknown type are acknowledged and ignored."""
        if isinstance(message, ShareRequest):
            return self._shares.grant_leases(message)
        reply = await self._hosts.handle(message)
        if reply is None:
            reply = await self._distributor.handle(message)
        return reply if reply is not None else Ack()
