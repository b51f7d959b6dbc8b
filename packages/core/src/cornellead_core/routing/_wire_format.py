"""Interface between forwarding and the platform's wire format."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple
from typing import Protocol

from cornellead_core.routing._server_entry import ReportedLoad

if TYPE_CHECKING:
    from collections.abc import Sequence


HeaderList = list[tuple[bytes, bytes]]
"""Headers in order, as sent."""


class PromptPart(NamedTuple):
    """A part of a prompt that servers cache as a unit."""

    part: str
    tokens: int


class CallerHeaders(NamedTuple):
    """What the headers of a caller's request say."""

    request_id: str
    """Empty if missing."""
    api_key: str
    """Empty if missing."""
    time_left_s: float | None
    """Time for which the caller waits."""
    prompt: tuple[PromptPart, ...]
    """Parts of the prompt in order; the last one belongs to this request alone."""
    prompt_tokens: int
    max_output_tokens: int
    last_event: str
    """Id of the last event that the caller has, when it resumes a stream."""
    forwarded: HeaderList
    """Headers that are passed on unchanged."""
    ambiguous: bool
    """Whether a header that must be unique stands twice."""


class ServerReply(NamedTuple):
    """What the headers of a server's response say."""

    request_id: str
    sealed: bool
    """Whether the server vouches for this response."""
    not_run: bool
    """Whether the server states that it did not run the request."""
    load: ReportedLoad | None
    forwarded: HeaderList
    """Headers that are passed on unchanged."""


class ForwardTarget(NamedTuple):
    """Headers that the router sets on a request to a server."""

    server: str
    team: str
    urgency: int
    """0 is the most urgent."""
    time_left_s: float
    last_event: str
    prompt_source: str = ""
    """Address of a server from which the prompt is fetched; empty for none."""


class WireFormat(Protocol):
    """Decodes and encodes the platform's headers."""

    @property
    def request_id_header(self) -> str:
        """Name of the header, in lower case, in which servers echo the id of a request."""
        ...

    def decode_caller(self, headers: HeaderList) -> CallerHeaders:
        """Decode the headers of a caller's request."""
        ...

    def encode_forward(self, caller: CallerHeaders, target: ForwardTarget) -> bytes:
        """Encode header lines for a server, each with its line end."""
        ...

    def decode_reply(self, status: int, headers: Sequence[tuple[bytes, bytes]]) -> ServerReply:
        """Decode the headers of a server's response."""
        ...

    def encode_refusal(self, request_id: str, retry_after_s: float | None) -> HeaderList:
        """Encode the headers of a response of the router's own."""
        ...
