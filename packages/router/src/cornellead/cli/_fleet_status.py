"""Collection of the status of all processes of the fleet over HTTP."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING
from typing import Any
from typing import NamedTuple

import httpx
import msgspec
from returns.result import Success

from cornellead_core.decoding import UNREADABLE
from cornellead_core.platform import HostEntry
from cornellead_core.platform import HostKind
from cornellead_core.platform import HttpHostList

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Sequence

MAX_CONCURRENT_REQUESTS = 32
STATUS_TIMEOUT_S = 2.0
POLL_INTERVAL_S = 0.2


class ProcessStatus(NamedTuple):
    """Host entry of a process and the status that it reports."""

    host: HostEntry
    answered: bool
    """Whether the process sent a status response with code 200."""
    body: dict[str, Any]
    """Decoded response; empty without one."""

    def get_number(self, key: str) -> float | None:
        """Return a number from the response, or ``None`` if the process does not report it."""
        value = self.body.get(key)
        is_number = isinstance(value, int | float) and not isinstance(value, bool)
        return value if is_number else None

    @property
    def state(self) -> str:
        """State that the process reports, or else the one in the host list."""
        if not self.answered:
            return "no answer"
        return str(self.body.get("state", self.host.state.value))

    @property
    def is_server(self) -> bool:
        """Whether the process is the agent of a server."""
        return self.host.kind is HostKind.AGENT


async def collect_status(
    client: httpx.AsyncClient, hosts: Sequence[HostEntry], *, timeout_s: float
) -> list[ProcessStatus]:
    """Fetch the status of all hosts concurrently.

    :param timeout_s: Timeout in seconds of the request to each host. Hosts that do not respond in
        time are in the result too, marked as not answered.
    """
    semaphore = asyncio.Semaphore(MAX_CONCURRENT_REQUESTS)

    async def fetch(host: HostEntry) -> ProcessStatus:
        async with semaphore:
            return await _fetch_status(client, host, timeout_s)

    return list(await asyncio.gather(*map(fetch, hosts)))


async def _fetch_status(
    client: httpx.AsyncClient, host: HostEntry, timeout_s: float
) -> ProcessStatus:
    try:
        resp = await client.get(f"http://{host.http}/status", timeout=timeout_s)
        body = msgspec.json.decode(resp.content, type=dict[str, Any])
    except (httpx.HTTPError, httpx.InvalidURL, *UNREADABLE):
        return ProcessStatus(host, False, {})
    return ProcessStatus(host, resp.status_code == 200, body)


async def wait_until_in_force(
    client: httpx.AsyncClient, platform_url: str, offset: int, *, timeout_s: float
) -> list[str]:
    """Wait until all processes in the host list report a configuration of at least this offset.

    :param timeout_s: Maximum time to wait, in seconds.
    :returns: Names of the processes that did not report it in time; empty on success.
    """
    deadline = time.monotonic() + timeout_s
    while True:
        fetched = await HttpHostList(client=client, url=platform_url).fetch()
        if not isinstance(fetched, Success):
            behind = ["every process (the host list does not answer)"]
        else:
            statuses = await collect_status(client, fetched.unwrap(), timeout_s=STATUS_TIMEOUT_S)
            offsets = {item.host.name: item.get_number("config_offset") for item in statuses}
            behind = [name for name, n in sorted(offsets.items()) if n is None or n < offset]
        if not behind or time.monotonic() >= deadline:
            return behind
        await asyncio.sleep(POLL_INTERVAL_S)


def sum_reported(statuses: Iterable[ProcessStatus], key: str) -> float | None:
    """Return the sum of a number over the processes that report it, or ``None`` if none does."""
    numbers = [value for status in statuses if (value := status.get_number(key)) is not None]
    return sum(numbers) if numbers else None


def cache_reuse(statuses: Sequence[ProcessStatus]) -> float | None:
    """Return the share of prompt tokens that engines found in their cache, ``None`` if unknown."""
    prompt_tokens = sum_reported(statuses, "prompt_tokens")
    cached_tokens = sum_reported(statuses, "cached_tokens")
    return None if not prompt_tokens or cached_tokens is None else cached_tokens / prompt_tokens
