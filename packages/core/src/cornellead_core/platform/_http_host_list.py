"""Client of the host list over HTTP."""

from __future__ import annotations

import httpx
import msgspec
from returns.result import Failure
from returns.result import Result
from returns.result import Success

from cornellead_core.platform._host_list import HostEntry
from cornellead_core.platform._host_list import HostKind
from cornellead_core.platform._host_list import HostState
from cornellead_core.platform._log import PlatformError

TIMEOUT_S = 2.0


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


class _ListBody(msgspec.Struct):
    hosts: list[_HostBody]


class HttpHostList:
    """Host list at a base URL."""

    def __init__(self, *, client: httpx.AsyncClient, url: str) -> None:
        self._client = client
        self._url = url.rstrip("/")
        self._etag = ""
        self._hosts: list[HostEntry] = []

    async def fetch(self) -> Result[list[HostEntry], PlatformError]:
        """Read the list; the platform sends it only if it changed since the last read."""
        headers = {"if-none-match": self._etag} if self._etag else {}
        try:
            resp = await self._client.get(f"{self._url}/hosts", headers=headers, timeout=TIMEOUT_S)
        except httpx.HTTPError as exc:
            return Failure(PlatformError(f"host list failed: {exc!r}"))
        if resp.status_code == 304 and self._etag:
            return Success(list(self._hosts))
        if resp.status_code != 200:
            return Failure(PlatformError(f"host list answered status {resp.status_code}"))
        try:
            body = msgspec.json.decode(resp.content, type=_ListBody)
        except msgspec.DecodeError as exc:
            return Failure(PlatformError(f"host list is malformed: {exc}"))
        self._hosts = [HostEntry(**msgspec.structs.asdict(host)) for host in body.hosts]
        self._etag = resp.headers.get("etag", "")
        return Success(list(self._hosts))
