"""Interface of an HTTP client for short calls."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple
from typing import Protocol

if TYPE_CHECKING:
    from returns.result import Result


class HttpReply(NamedTuple):
    """A whole response."""

    status: int
    body: bytes


class HttpCaller(Protocol):
    """Sends requests whose responses are short."""

    async def call(
        self, address: str, method: str, target: str, *, body: bytes = b"", timeout_s: float
    ) -> Result[HttpReply, str]:
        """Send a request and read the whole response.

        :param address: ``ip:port``.
        :param target: Path and query.
        :param timeout_s: Longest time until the response has arrived whole.
        :returns: Why there is no whole response, if so; the request may have been received.
        """
        ...
