"""Interface to the encoding of request metadata in the platform's HTTP headers."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple
from typing import Protocol

from cornellead_core.routing._server_entry import ReportedLoad

if TYPE_CHECKING:
    from collections.abc import Sequence


HeaderList = list[tuple[bytes, bytes]]
"""Header names and values in the order in which they are sent."""


class PromptPart(NamedTuple):
    """Part of a prompt that servers cache as a unit."""

    part: str
    tokens: int


class CallerHeaders(NamedTuple):
    """Metadata decoded from the headers of a caller's request."""

    request_id: str
    """Empty if missing."""
    api_key: str
    """Empty if missing."""
    time_left_s: float | None
    """Time until the caller's deadline, ``None`` if there is none."""
    prompt: tuple[PromptPart, ...]
    """Parts of the prompt in order; the last part is unique to this request."""
    prompt_tokens: int
    max_output_tokens: int
    last_event: str
    """Id of the last event that the caller received before it resumes a stream."""
    forwarded: HeaderList
    """Headers that are forwarded unchanged."""
    ambiguous: bool
    """Whether a header that must be unique occurs more than once."""


class ServerReply(NamedTuple):
    """Metadata decoded from the headers of a server's response."""

    request_id: str
    sealed: bool
    """Whether the server marked the response as its own with a seal header."""
    not_run: bool
    """Whether the server states that it did not run the request."""
    load: ReportedLoad | None
    rate_limit_per_s: float | None
    """Requests per second that the server accepts from all routers together; ``None`` if it names
    no limit."""
    leaving: bool
    """Whether the server is shutting down and accepts no new requests."""
    pause_s: float | None
    """Seconds for which the server asks this router to send it nothing; ``None`` if it does not."""
    forwarded: HeaderList
    """Headers that are forwarded unchanged."""


class ForwardTarget(NamedTuple):
    """Metadata that the router encodes in the headers of a request to a server."""

    server: str
    team: str
    urgency: int
    """0 is the most urgent."""
    time_left_s: float
    last_event: str
    prompt_source: str = ""
    """Address of the server from which to fetch the cached prompt; empty for none."""


class WireFormat(Protocol):
    """Decodes and encodes the platform's headers."""

    @property
    def request_id_header(self) -> str:
        """Lower-case name of the header in which servers echo the request id."""
        ...

    def decode_caller(self, headers: HeaderList) -> CallerHeaders:
        """Decode the headers of a caller's request."""
        ...

    def encode_forward(self, caller: CallerHeaders, target: ForwardTarget) -> bytes:
        """Encode header lines for a request to a server, each terminated by CRLF."""
        ...

    def decode_reply(self, status: int, headers: Sequence[tuple[bytes, bytes]]) -> ServerReply:
        """Decode the headers of a server's response."""
        ...

    def encode_refusal(self, request_id: str, retry_after_s: float | None) -> HeaderList:
        """Encode the headers of a response that the router generates itself."""
        ...
