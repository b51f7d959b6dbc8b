"""Answers control messages of peers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cornellead_core.wire import Ack

if TYPE_CHECKING:
    from cornellead_core.distribution import ConfigDistributor
    from cornellead_core.wire import Message


class ControlHandler:
    """Hands each message to the part that answers its type."""

    def __init__(self, *, distributor: ConfigDistributor) -> None:
        self._distributor = distributor

    async def handle(self, message: Message) -> Message:
        """Return the answer; unknown messages are acknowledged and ignored."""
        answer = await self._distributor.handle(message)
        return answer if answer is not None else Ack()
