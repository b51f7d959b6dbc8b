"""One call under an idempotency key on its way through a partition."""

from __future__ import annotations

from enum import StrEnum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import asyncio

    from cornellead_agent.services._service_request import ServiceRequest
    from cornellead_agent.services._service_response import ServiceResponse


class Phase(StrEnum):
    """Progress of a call; it only moves forward, except from claiming back to queued."""

    QUEUED = "queued"
    BLOCKED = "blocked"
    """Waits for another call with the same key."""
    CLAIMING = "claiming"
    """Its claim is to be appended or read back."""
    DISPATCHED = "dispatched"
    REPLAYING = "replaying"
    """The recorded answer is being read."""
    CLOSED = "closed"


class Call:
    """A call that waits for its answer.

    :param deadline: Event loop time at which the caller stops waiting.
    :param expires_ms: Log time after which the key is no longer valid, if the caller gave its time.
    """

    __slots__ = (
        "arrived_at",
        "call_id",
        "claim_sent",
        "deadline",
        "digest",
        "expires_ms",
        "fut",
        "key",
        "phase",
        "request",
    )

    def __init__(
        self,
        *,
        request: ServiceRequest,
        key: bytes,
        digest: bytes,
        arrived_at: float,
        deadline: float,
        expires_ms: int | None,
        fut: asyncio.Future[ServiceResponse],
    ) -> None:
        self.request = request
        self.key = key
        self.digest = digest
        self.arrived_at = arrived_at
        self.deadline = deadline
        self.expires_ms = expires_ms
        self.fut = fut
        self.phase = Phase.QUEUED
        self.call_id = ""
        self.claim_sent = False

    def answer(self, response: ServiceResponse) -> None:
        """Give the answer unless the caller already has one or is gone."""
        if not self.fut.done():
            self.fut.set_result(response)

    def close(self, response: ServiceResponse) -> None:
        """Give the answer and end the call."""
        self.phase = Phase.CLOSED
        self.answer(response)
