"""A request on its way through an emulated router."""

from __future__ import annotations

from itertools import count
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from cornellead.gateway.forwarding import Job
    from cornellead_emulator.traffic import ChatRequest

_numbers = count()


def _nothing() -> None:
    """Do nothing: no server has the request."""


class Pending:
    """A request, the servers it was sent to, and whether it ended.

    :param give_up_at: Time until which it waits for a cold server, in seconds.
    """

    def __init__(self, req: ChatRequest, job: Job, *, give_up_at: float) -> None:
        self.req = req
        self.job = job
        self.give_up_at = give_up_at
        self.number = next(_numbers)
        self.tried: set[str] = set()
        self.started_at: float | None = None
        """When its first token came, in seconds."""
        self.ended = False
        self.expire: Callable[[], None] = _nothing
        """Drops the request at its server."""
