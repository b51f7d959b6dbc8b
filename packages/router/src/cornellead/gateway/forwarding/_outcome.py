"""Outcomes of an attempt at a server."""

from __future__ import annotations

from typing import NamedTuple

from cornellead_core.close_delimited import ResponseEnd
from cornellead_core.routing import HeaderList


class DeliveredResponse(NamedTuple):
    """The complete response was written to the caller."""

    status: int
    end: ResponseEnd | None = None
    """What is known of the end; ``None`` if the length or the chunks of the response show it."""

    @property
    def proven(self) -> bool:
        """Whether the response is evidence that its server is sound."""
        return self.end is not ResponseEnd.UNPROVEN


class ErrorResponse(NamedTuple):
    """A complete response that is held back, since another attempt may yield a better one."""

    status: int
    headers: HeaderList
    body: bytes


class NotRunResponse(NamedTuple):
    """The server declared that it did not run the request."""

    status: int


class BrokenResponse(NamedTuple):
    """The response is missing or incomplete, or does not come from the intended server."""

    cause: str


AttemptOutcome = DeliveredResponse | ErrorResponse | NotRunResponse | BrokenResponse
