"""Interface of the control client, which tests replace."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Protocol

if TYPE_CHECKING:
    from returns.result import Result

    from cornellead_core.wire import Message


class ControlRequester(Protocol):
    """Sends a control message to a peer and waits for the reply."""

    async def request(self, address: str, message: Message) -> Result[Message, str]:
        """Send a message to ``ip:port`` and return the reply, or why there is none."""
        ...
