"""Interface of an HTTP client for requests with short responses."""

from __future__ import annotations

from collections.abc import Mapping
from types import MappingProxyType
from typing import TYPE_CHECKING
from typing import NamedTuple
from typing import Protocol

if TYPE_CHECKING:
    from returns.result import Result


class HttpResponse(NamedTuple):
    """Complete response."""

    status: int
    body: bytes
    wait_s: float = 0.0
    """Time from the request to the start of the response."""
    transfer_s: float = 0.0
    """Time from the start to the end of the response."""
    headers: Mapping[str, str] = MappingProxyType({})
    """Values by name in lower case."""


class HttpClient(Protocol):
    """Sends requests and reads short responses into memory."""

    async def call(
        self, address: str, method: str, target: str, *, body: bytes = b"", timeout_s: float
    ) -> Result[HttpResponse, str]:
        """Send a request and read the complete response.

        :param address: ``ip:port``.
        :param target: Path and query.
        :param timeout_s: Maximum time until the complete response is received. A large body that
            keeps arriving may take longer.
        :returns: The response or an error message. After an error, the receiver may still have
            processed the request.
        """
        ...
