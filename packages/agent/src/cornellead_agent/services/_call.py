"""State of one call with an idempotency key."""

from __future__ import annotations

from enum import StrEnum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import asyncio

    from cornellead_agent.services._service_request import ServiceRequest
    from cornellead_agent.services._service_response import ServiceResponse


class Phase(StrEnum):
    """Progress of a call through its partition.

    Phases only advance, except that a queued or blocked call may change between the two and that a
    claiming call whose claim became void is queued again.
    """

    QUEUED = "queued"
    BLOCKED = "blocked"
    """Waiting for another call with the same key."""
    CLAIMING = "claiming"
    """Waiting for its claim to be appended and read back."""
    DISPATCHED = "dispatched"
    REPLAYING = "replaying"
    """Waiting for the recorded response to be read from the log."""
    CLOSED = "closed"


class Call:
    """A call whose caller waits for the response.

    :param key: Digest of team and idempotency key.
    :param request_digest: Digest of operation and body; a key may not be reused for another one.
    :param arrived_at: Event loop time in seconds.
    :param deadline: Event loop time at which the caller stops waiting.
    :param expires_ms: Log time after which the key is no longer valid, or ``None`` if the caller
        did not send the key's creation time.
    """

    __slots__ = (
        "arrived_at",
        "call_id",
        "claim_sent",
        "deadline",
        "expires_ms",
        "fut",
        "key",
        "phase",
        "request",
        "request_digest",
    )

    def __init__(
        self,
        *,
        request: ServiceRequest,
        key: bytes,
        request_digest: bytes,
        arrived_at: float,
        deadline: float,
        expires_ms: int | None,
        fut: asyncio.Future[ServiceResponse],
    ) -> None:
        self.request = request
        self.key = key
        self.request_digest = request_digest
        self.arrived_at = arrived_at
        self.deadline = deadline
        self.expires_ms = expires_ms
        self.fut = fut
        self.phase = Phase.QUEUED
        self.call_id = ""
        self.claim_sent = False

    @property
    def key_time_ms(self) -> int | None:
        """Creation time of the key by the caller's clock, in Unix milliseconds."""
        key_time_s = self.request.key_time_s
        return None if key_time_s is None else round(key_time_s * 1000)

    def respond(self, response: ServiceResponse) -> None:
        """Set the response, unless one was set before or the caller disconnected."""
        if not self.fut.done():
            self.fut.set_result(response)

    def close(self, response: ServiceResponse) -> None:
        """Set the response and end the call."""
        self.phase = Phase.CLOSED
        self.respond(response)
