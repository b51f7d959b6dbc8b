"""HTTP client of the host list."""

from __future__ import annotations

import httpx
import msgspec
from returns.result import Failure
from returns.result import Result
from returns.result import Success

from cornellead_core.decoding import UNREADABLE
from cornellead_core.platform._host_list import HostEntry
from cornellead_core.platform._host_list import HostKind
from cornellead_core.platform._host_list import HostState
from cornellead_core.platform._log_client import PlatformError

REQUEST_TIMEOUT_S = 2.0


class _HostBody(msgspec.Struct):
    name: str
    kind: HostKind
    region: str
    dc: str
    http: str
    control: str
    state: HostState = HostState.LIVE
    service: str = ""
    models: tuple[str, ...] = ()
    capacity: float = 1.0


class _HostListBody(msgspec.Struct):
    hosts: list[_HostBody]


class HttpHostList:
    """Reads the host list over HTTP and caches the last version.

    :param client: HTTP client; the caller remains responsible for closing it.
    :param url: Base URL such as ``http://10.0.0.1:7000``.
    """

    def __init__(self, *, client: httpx.AsyncClient, url: str) -> None:
        self._client = client
        self._url = url.rstrip("/")
        self._etag = ""
        self._hosts: list[HostEntry] = []

    async def fetch(self) -> Result[list[HostEntry], PlatformError]:
        """Return all listed hosts; the platform sends the list only if its ETag has changed."""
        headers = {"if-none-match": self._etag} if self._etag else {}
        try:
            resp = await self._client.get(
                f"{self._url}/hosts", headers=headers, timeout=REQUEST_TIMEOUT_S
            )
        except httpx.HTTPError as exc:
            return Failure(PlatformError(f"host list read failed: {exc!r}"))
        if resp.status_code == 304 and self._etag:
            return Success(list(self._hosts))
        if resp.status_code != 200:
            return Failure(PlatformError(f"host list read failed with status {resp.status_code}"))
        try:
            body = msgspec.json.decode(resp.content, type=_HostListBody)
        except UNREADABLE as exc:
            return Failure(PlatformError(f"host list is malformed: {exc}"))
        self._hosts = [HostEntry(**msgspec.structs.asdict(host)) for host in body.hosts]
        self._etag = resp.headers.get("etag", "")
        return Success(list(self._hosts))
