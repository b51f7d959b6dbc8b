"""Collection of the status of every process."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING
from typing import Any
from typing import NamedTuple

import httpx
import msgspec
from returns.result import Success

from cornellead_core.platform import HostEntry
from cornellead_core.platform import HostKind
from cornellead_core.platform import HttpHostList

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Sequence

CONCURRENT_REQUESTS = 32
ASK_TIMEOUT_S = 2.0
WAIT_POLL_S = 0.2


class ProcessStatus(NamedTuple):
    """A host and what its process answered; values it does not report are ``None``."""

    host: HostEntry
    answered: bool
    body: dict[str, Any]

    def number(self, key: str) -> float | None:
        """Return a number of the answer."""
        value = self.body.get(key)
        is_number = isinstance(value, int | float) and not isinstance(value, bool)
        return value if is_number else None

    @property
    def state(self) -> str:
        """State as the process reports it, or as the host list does."""
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
    """Ask every host; one that does not answer in time is reported as such."""
    slots = asyncio.Semaphore(CONCURRENT_REQUESTS)

    async def ask(host: HostEntry) -> ProcessStatus:
        async with slots:
            return await _ask(client, host, timeout_s)

    return list(await asyncio.gather(*map(ask, hosts)))


async def _ask(client: httpx.AsyncClient, host: HostEntry, timeout_s: float) -> ProcessStatus:
    try:
        resp = await client.get(f"http://{host.http}/status", timeout=timeout_s)
        body = msgspec.json.decode(resp.content, type=dict[str, Any])
    except (httpx.HTTPError, httpx.InvalidURL, msgspec.DecodeError):
        return ProcessStatus(host, False, {})
    return ProcessStatus(host, resp.status_code == 200, body)


async def wait_in_force(
    client: httpx.AsyncClient, platform_url: str, offset: int, *, timeout_s: float
) -> list[str]:
    """Wait until every listed process has a configuration in force.

    :returns: Names of the processes that did not report the offset in time.
    """
    deadline = time.monotonic() + timeout_s
    while True:
        fetched = await HttpHostList(client=client, url=platform_url).fetch()
        if not isinstance(fetched, Success):
            behind = ["every process (the host list does not answer)"]
        else:
            statuses = await collect_status(client, fetched.unwrap(), timeout_s=ASK_TIMEOUT_S)
            offsets = {item.host.name: item.number("config_offset") for item in statuses}
            behind = [name for name, n in sorted(offsets.items()) if n is None or n < offset]
        if not behind or time.monotonic() >= deadline:
            return behind
        await asyncio.sleep(WAIT_POLL_S)


def total(statuses: Iterable[ProcessStatus], key: str) -> float | None:
    """Sum a number over the processes that report it, ``None`` if none does."""
    numbers = [value for status in statuses if (value := status.number(key)) is not None]
    return sum(numbers) if numbers else None


def reuse(statuses: Sequence[ProcessStatus]) -> float | None:
    """Return the share of prompt tokens that engines found in their cache."""
    prompt = total(statuses, "prompt_tokens")
    cached = total(statuses, "cached_tokens")
    return None if not prompt or cached is None else cached / prompt
