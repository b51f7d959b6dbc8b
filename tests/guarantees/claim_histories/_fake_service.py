"""Fake service that records its effects, and an HTTP transport to it that injects faults."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING
from typing import NamedTuple

import httpx

if TYPE_CHECKING:
    import random

    from tests.guarantees.claim_histories._process import Process


class ServiceFaults(NamedTuple):
    """Probabilities of faults in calls to the service."""

    refused: float = 0.0
    """The connection is refused."""
    lost_before: float = 0.0
    """The connection breaks before the call takes effect."""
    lost_after: float = 0.0
    """The connection breaks, but the call takes effect."""
    slow: float = 0.0
    """The call takes effect seconds later."""


class Effect(NamedTuple):
    """Effect of one executed call."""

    key: str
    request_id: str
    body: bytes
    response: bytes
    """Body of the response to the call."""


class FakeService:
    """Records the effect of every executed call."""

    def __init__(self, *, rng: random.Random, faults: ServiceFaults) -> None:
        self.rng = rng
        self.faults = faults
        self.effects: list[Effect] = []
        self.unready_hosts: set[str] = set()
        """Hosts whose agents fail their readiness probes."""

    def apply_effect(self, key: str, request_id: str, body: bytes) -> bytes:
        """Record the effect of a call and return the response body."""
        response = b"receipt %d" % len(self.effects)
        self.effects.append(Effect(key, request_id, body, response))
        return response


class FakeServiceTransport(httpx.AsyncBaseTransport):
    """HTTP transport from one process to the service, which injects the faults of the history."""

    def __init__(self, *, service: FakeService, process: Process) -> None:
        self._service = service
        self._process = process

    async def handle_async_request(self, request: httpx.Request) -> httpx.Response:
        """Send a call or a readiness probe."""
        await self._process.wait_until_running()
        service, rng = self._service, self._service.rng
        if request.method == "GET":
            return httpx.Response(503 if request.url.host in service.unready_hosts else 200)
        faults, fault_roll = service.faults, rng.random()
        if fault_roll < faults.refused:
            await asyncio.sleep(0.001)
            await self._process.wait_until_running()
            raise httpx.ConnectError("connection refused", request=request)
        fault_roll -= faults.refused
        delay_s = rng.uniform(1.0, 12.0) if rng.random() < faults.slow else rng.uniform(0.0, 0.03)
        if fault_roll < faults.lost_before:
            await asyncio.sleep(delay_s)
            await self._process.wait_until_running()
            raise httpx.ReadError("connection reset", request=request)
        fault_roll -= faults.lost_before
        # The call is sent; from here on it takes effect even if the sending process is killed.
        effect_response = asyncio.get_running_loop().create_future()
        asyncio.get_running_loop().call_later(delay_s, self._apply_effect, request, effect_response)
        if fault_roll < faults.lost_after:
            await asyncio.sleep(rng.uniform(0.0, 2 * delay_s))
            await self._process.wait_until_running()
            raise httpx.RemoteProtocolError("connection closed", request=request)
        response = await asyncio.shield(effect_response)
        await asyncio.sleep(rng.uniform(0.0, 0.01))
        await self._process.wait_until_running()
        return httpx.Response(200, content=response, headers={"content-type": "text/plain"})

    def _apply_effect(self, request: httpx.Request, effect_response: asyncio.Future[bytes]) -> None:
        key = request.headers["idempotency-key"]
        response = self._service.apply_effect(key, request.headers["x-request-id"], request.content)
        if not effect_response.done():
            effect_response.set_result(response)
