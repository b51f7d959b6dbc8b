"""Answers control messages of peers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cornellead_core.wire import Ack
from cornellead_core.wire import Demand

if TYPE_CHECKING:
    from cornellead.limits import ShareController
    from cornellead_core.distribution import ConfigDistributor
    from cornellead_core.distribution import HostDistributor
    from cornellead_core.wire import Message


class ControlHandler:
    """Hands each message to the part that answers its type."""

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
        """Return the answer; unknown messages are acknowledged and ignored."""
        if isinstance(message, Demand):
            return self._shares.answer(message)
        answer = await self._hosts.handle(message)
        if answer is None:
            answer = await self._distributor.handle(message)
        return answer if answer is not None else Ack()
