"""Progress of a request through an emulated router."""

from __future__ import annotations

from itertools import count
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from cornellead.gateway.forwarding import AdmittedRequest
    from cornellead_emulator.traffic import ChatRequest

_numbers = count()


def _no_op() -> None:
    """Do nothing; stands for the cancellation while no server has the request."""


class RequestProgress:
    """A request, the servers it was sent to, and whether it has ended.

    :param give_up_at: Time until which it waits for a cold server, in simulated seconds.
    """

    def __init__(self, req: ChatRequest, admitted: AdmittedRequest, *, give_up_at: float) -> None:
        self.req = req
        self.admitted = admitted
        self.give_up_at = give_up_at
        self.number = next(_numbers)
        self.tried: set[str] = set()
        self.first_token_at: float | None = None
        """Time of the first token, in simulated seconds."""
        self.sent_at = 0.0
        """Time of the last send, in simulated seconds."""
        self.ended = False
        self.cancel: Callable[[], None] = _no_op
        """Cancels the request at its server."""
