"""Interface of what serves the requests of a connection."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Protocol

if TYPE_CHECKING:
    from cornellead.gateway.ingress._caller_request import CallerRequest
    from cornellead.gateway.ingress._response_writer import ResponseWriter


class RequestHandler(Protocol):
    """Serves the requests of a connection."""

    async def handle(self, req: CallerRequest, out: ResponseWriter) -> None:
        """Write one response; cancelled when the caller disconnects."""
        ...
