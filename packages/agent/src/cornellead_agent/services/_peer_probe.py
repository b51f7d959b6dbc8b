"""Readiness probes that decide which agent should own a partition."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import httpx

from cornellead_core.claims import rank_owners
from cornellead_core.facts import CONFIG
from cornellead_core.facts import HOSTS
from cornellead_core.platform import HostKind
from cornellead_core.platform import HostState

if TYPE_CHECKING:
    from cornellead_core.blackboard import Blackboard
    from cornellead_core.platform import HostEntry

PROBE_MAX_AGE_S = 1.0
"""Age up to which a cached probe result is used."""
PROBE_TIMEOUT_S = 0.3


class PeerProbe:
    """Finds the ready server with the highest rank for a partition.

    The host list lags behind failures, so the agent of a higher-ranked server is probed before a
    call is refused with a hint to that server.
    """

    def __init__(
        self, *, server: str, service: str, board: Blackboard, client: httpx.AsyncClient
    ) -> None:
        self._server = server
        self._service = service
        self._board = board
        self._client = client
        self._results: dict[str, tuple[bool, float]] = {}
        self._probes: dict[str, asyncio.Task[bool]] = {}

    async def find_preferred_owner(self, partition: int) -> str:
        """Return the ready server that ranks above this one, or an empty string if none does."""
        peers = self._peers()
        ranked = rank_owners(
            service=self._service, partition=partition, servers={*peers, self._server}
        )
        for name in ranked:
            if name == self._server:
                return ""
            if await self._is_ready(peers[name]):
                return name
        return ""

    def _peers(self) -> dict[str, HostEntry]:
        config = self._board.read(CONFIG)
        return {
            host.name: host
            for host in self._board.read(HOSTS)
            if host.kind is HostKind.AGENT
            and host.service == self._service
            and host.state is HostState.LIVE
            and host.dc not in config.out_of_service
            and not (host.name in config.servers and config.servers[host.name].draining)
        }

    async def _is_ready(self, host: HostEntry) -> bool:
        now = asyncio.get_running_loop().time()
        cached = self._results.get(host.name)
        if cached is not None and now - cached[1] < PROBE_MAX_AGE_S:
            return cached[0]
        probe = self._probes.get(host.name)
        if probe is None:
            probe = asyncio.create_task(self._probe(host))
            self._probes[host.name] = probe
        return await asyncio.shield(probe)

    async def _probe(self, host: HostEntry) -> bool:
        try:
            resp = await self._client.get(f"http://{host.http}/readyz", timeout=PROBE_TIMEOUT_S)
            ready = resp.status_code == 200
        except httpx.HTTPError:
            ready = False
        self._results[host.name] = (ready, asyncio.get_running_loop().time())
        del self._probes[host.name]
        return ready
