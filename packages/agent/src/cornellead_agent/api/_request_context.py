"""Parses the internal headers that routers add to a request."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any
from typing import NamedTuple

from cornellead_agent.admission import AdmissionRequest
from cornellead_core import headers

if TYPE_CHECKING:
    from collections.abc import Mapping


class RequestContext(NamedTuple):
    """Values of the internal headers of one request."""

    request_id: str
    team: str
    chat: int | None
    delivered_events: int
    """Events that the caller already received; 0 unless the router resumes a stream."""
    remaining_s: float | None
    """Time left until the deadline when the request arrived, in seconds."""
    load_digest: str
    """Encoded load digest of the router, empty when absent."""
    admission: AdmissionRequest


def read_headers(scope: Mapping[str, Any]) -> dict[str, str]:
    """Return the headers of an ASGI scope; ASGI servers send names in lower case."""
    return {name.decode("latin-1"): value.decode("latin-1") for name, value in scope["headers"]}


def read_path(scope: Mapping[str, Any]) -> str:
    """Return the path as sent by the client, which its signature covers.

    ``path`` in the scope lacks the prefix when the handler is mounted.
    """
    raw: bytes | None = scope.get("raw_path")
    if raw is None:
        return str(scope["path"])
    return raw.partition(b"?")[0].decode("latin-1")


def read_context(fields: Mapping[str, str], *, now: float) -> RequestContext:
    """Parse the internal headers; a malformed number is treated as absent.

    :param now: Monotonic time in seconds, to which the remaining time is added.
    """
    remaining_ms = _parse_int(fields.get(headers.DEADLINE_MS, ""))
    remaining_s = None if remaining_ms is None else remaining_ms / 1000
    return RequestContext(
        request_id=fields.get(headers.REQUEST, ""),
        team=fields.get(headers.TEAM, ""),
        chat=_parse_int(fields.get(headers.CHAT, ""), base=16),
        delivered_events=_parse_int(fields.get(headers.RESUME, "")) or 0,
        remaining_s=remaining_s,
        load_digest=fields.get(headers.LOAD, ""),
        admission=AdmissionRequest(
            batch=fields.get(headers.PRIORITY) == "batch",
            fallback=fields.get(headers.FALLBACK) == "1",
            adopt=fields.get(headers.ADOPT) == "1",
            returning=fields.get(headers.RETURNING) == "1",
            deadline_at=None if remaining_s is None else now + remaining_s,
            config_offset=_as_offset(_parse_int(fields.get(headers.CONFIG, ""))),
        ),
    )


def _as_offset(parsed: int | None) -> int:
    """Replace an absent offset with -1, which is older than any configuration."""
    return -1 if parsed is None else parsed


def _parse_int(text: str, *, base: int = 10) -> int | None:
    if not text or len(text) > 20:
        return None
    try:
        return int(text, base)
    except ValueError:
        return None
