"""A service that counts effects, reached through an HTTP transport with faults."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING
from typing import NamedTuple

import httpx

if TYPE_CHECKING:
    import random

    from tests.guarantees.claim_histories._process import Process


class ServiceFaults(NamedTuple):
    """Shares of calls that go wrong."""

    refused: float = 0.0
    """No connection."""
    lost_before: float = 0.0
    """The connection breaks before the service acts."""
    lost_after: float = 0.0
    """The connection breaks after the service acted."""
    slow: float = 0.0
    """The service acts seconds later."""


class Effect(NamedTuple):
    """One effect."""

    key: str
    request_id: str
    body: bytes
    answer: bytes


class FakeService:
    """The one truth about what ran."""

    def __init__(self, *, rng: random.Random, faults: ServiceFaults) -> None:
        self.rng = rng
        self.faults = faults
        self.effects: list[Effect] = []
        self.unready: set[str] = set()
        """Hosts whose agents do not answer probes with success."""

    def act(self, key: str, request_id: str, body: bytes) -> bytes:
        """Take effect and return the answer."""
        answer = b"receipt %d" % len(self.effects)
        self.effects.append(Effect(key, request_id, body, answer))
        return answer


class ServiceTransport(httpx.AsyncBaseTransport):
    """Connection of one process to the service."""

    def __init__(self, *, service: FakeService, process: Process) -> None:
        self._service = service
        self._process = process

    async def handle_async_request(self, request: httpx.Request) -> httpx.Response:
        """Send one call with the faults of the history."""
        await self._process.gate()
        service, rng = self._service, self._service.rng
        if request.method == "GET":
            return httpx.Response(503 if request.url.host in service.unready else 200)
        faults, kind = service.faults, rng.random()
        if kind < faults.refused:
            await asyncio.sleep(0.001)
            await self._process.gate()
            raise httpx.ConnectError("connection refused", request=request)
        kind -= faults.refused
        delay_s = rng.uniform(1.0, 12.0) if rng.random() < faults.slow else rng.uniform(0.0, 0.03)
        if kind < faults.lost_before:
            await asyncio.sleep(delay_s)
            await self._process.gate()
            raise httpx.ReadError("connection reset", request=request)
        kind -= faults.lost_before
        # Sent: from here on the effect does not depend on the process that sent the call.
        acted = asyncio.get_running_loop().create_future()
        asyncio.get_running_loop().call_later(delay_s, self._act, request, acted)
        if kind < faults.lost_after:
            await asyncio.sleep(rng.uniform(0.0, 2 * delay_s))
            await self._process.gate()
            raise httpx.RemoteProtocolError("connection closed", request=request)
        answer = await asyncio.shield(acted)
        await asyncio.sleep(rng.uniform(0.0, 0.01))
        await self._process.gate()
        return httpx.Response(200, content=answer, headers={"content-type": "text/plain"})

    def _act(self, request: httpx.Request, acted: asyncio.Future[bytes]) -> None:
        key = request.headers["idempotency-key"]
        answer = self._service.act(key, request.headers["x-request-id"], request.content)
        if not acted.done():
            acted.set_result(answer)
