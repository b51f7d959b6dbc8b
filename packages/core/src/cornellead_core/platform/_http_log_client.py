"""HTTP client of the log service."""

from __future__ import annotations

import re
from typing import TYPE_CHECKING
from typing import Any

import httpx
import msgspec
from returns.result import Failure
from returns.result import Result
from returns.result import Success

from cornellead_core.decoding import UNREADABLE
from cornellead_core.platform._log_client import AppendError
from cornellead_core.platform._log_client import LogPage
from cornellead_core.platform._log_client import LogRecord
from cornellead_core.platform._log_client import PlatformError
from cornellead_core.routing import UNKNOWN_ERA

if TYPE_CHECKING:
    from collections.abc import Mapping
    from collections.abc import Sequence

REQUEST_TIMEOUT_S = 2.0
"""Timeout of a request to the log service, in addition to the wait for new records."""


MAX_VALUE_DEPTH = 64
"""Maximum nesting of a value that is used, well below what the decoder can read: all processes have
to use the same values, however much of the stack their callers take."""
PAGE_DEPTH = 3
"""Nesting of the values in a page."""
TOKEN_PATTERN = re.compile(rb'"(?:[^"\\]|\\.)*"|[][{}]', re.DOTALL)
"""String, or start or end of an array or object."""


class _PageBody(msgspec.Struct):
    records: list[tuple[int, int, msgspec.Raw]]
    next: int
    oldest: int
    end: int
    retention_s: float
    time_ms: int
    era: int = UNKNOWN_ERA
    restored_ms: int = 0


class _AppendBody(msgspec.Struct):
    first_offset: int


class HttpLogClient:
    """Appends to and reads from the log service over HTTP.

    :param client: HTTP client; the caller remains responsible for closing it.
    :param url: Base URL such as ``http://10.0.0.1:7000``.
    """

    def __init__(self, *, client: httpx.AsyncClient, url: str) -> None:
        self._client = client
        self._url = url.rstrip("/")

    async def append(
        self, stream: str, values: Sequence[Mapping[str, Any]]
    ) -> Result[int, AppendError]:
        """Append records to a stream.

        :returns: Offset of the first record; ``UNKNOWN`` if the log service may have stored the
            records but its response was lost or unusable.
        """
        content = msgspec.json.encode({"records": list(values)})
        try:
            resp = await self._client.post(
                f"{self._url}/log/{stream}", content=content, timeout=REQUEST_TIMEOUT_S
            )
        except httpx.ConnectError:
            return Failure(AppendError.REJECTED)
        except httpx.HTTPError:
            return Failure(AppendError.UNKNOWN)
        if resp.status_code in (429, 503):
            return Failure(AppendError.REJECTED)
        if resp.status_code != 200:
            return Failure(AppendError.UNKNOWN)
        try:
            return Success(msgspec.json.decode(resp.content, type=_AppendBody).first_offset)
        except UNREADABLE:
            return Failure(AppendError.UNKNOWN)

    async def read(
        self, stream: str, *, from_offset: int, limit: int = 1000, wait_s: float = 0.0
    ) -> Result[LogPage, PlatformError]:
        """Read records of a stream, starting at an offset."""
        params = {"from": from_offset, "limit": limit, "wait_ms": round(wait_s * 1000)}
        try:
            resp = await self._client.get(
                f"{self._url}/log/{stream}", params=params, timeout=REQUEST_TIMEOUT_S + wait_s
            )
        except httpx.HTTPError as exc:
            return Failure(PlatformError(f"log read failed: {exc!r}"))
        if resp.status_code != 200:
            return Failure(PlatformError(f"log read answered status {resp.status_code}"))
        return _parse_page(resp.content)


def _parse_page(content: bytes) -> Result[LogPage, PlatformError]:
    try:
        try:
            body = msgspec.json.decode(content, type=_PageBody)
        except RecursionError:
            shallow = _cut_nested(content, max_depth=PAGE_DEPTH + MAX_VALUE_DEPTH + 1)
            body = msgspec.json.decode(shallow, type=_PageBody)
    except UNREADABLE as exc:
        return Failure(PlatformError(f"log read answered malformed data: {exc}"))
    records = [
        LogRecord(offset, time_ms, _parse_value(value)) for offset, time_ms, value in body.records
    ]
    return Success(
        LogPage(
            records,
            body.next,
            body.oldest,
            body.end,
            body.retention_s,
            body.time_ms,
            max(UNKNOWN_ERA, body.era),
            body.restored_ms,
        )
    )


def _parse_value(content: msgspec.Raw) -> dict[str, Any]:
    # A value that cannot be used is replaced by an empty one: if the whole page were rejected, a
    # single malformed record would permanently block every reader of the stream.
    data = bytes(content)
    if _cut_nested(data, max_depth=MAX_VALUE_DEPTH) != data:
        return {}
    try:
        value = msgspec.json.decode(data)
    except UNREADABLE:
        return {}
    return value if isinstance(value, dict) else {}


def _cut_nested(content: bytes, *, max_depth: int) -> bytes:
    """Replace arrays and objects that are nested more deeply by ``null``.

    >>> _cut_nested(b'[1,[2,["]"]],3]', max_depth=1)
    b'[1,null,3]'
    """
    if content.count(b"[") + content.count(b"{") <= max_depth:
        return content
    parts, kept_until, depth = [], 0, 0
    for token in TOKEN_PATTERN.finditer(content):
        if token.group() in (b"[", b"{"):
            depth += 1
            if depth == max_depth + 1:
                parts.append(content[kept_until : token.start()] + b"null")
        elif token.group() in (b"]", b"}"):
            if depth == max_depth + 1:
                kept_until = token.end()
            depth -= 1
    if depth <= max_depth:
        parts.append(content[kept_until:])
    return b"".join(parts)
