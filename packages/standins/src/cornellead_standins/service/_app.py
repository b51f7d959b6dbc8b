"""HTTP application of the stand-in service."""

from __future__ import annotations

import asyncio
import random
import secrets
from collections import Counter
from typing import TYPE_CHECKING
from typing import Any

import msgspec
from litestar import Litestar
from litestar import Request
from litestar import Response
from litestar import get
from litestar import post
from litestar import put
from litestar.params import FromPath

from cornellead_standins.service._settings import ServiceFaults

if TYPE_CHECKING:
    from cornellead_standins.service._settings import ServiceSettings

TRUNCATED_BYTES = 10
"""Bytes missing at the end of a truncated response."""


def _json_response(body: object, *, status: int = 200) -> Response[bytes]:
    return Response(msgspec.json.encode(body), status_code=status, media_type="application/json")


def _error_response(status: int, message: str) -> Response[bytes]:
    return _json_response({"error": {"message": message}}, status=status)


class _Service:
    def __init__(self, settings: ServiceSettings) -> None:
        self.settings = settings
        self.faults = ServiceFaults()
        self.rng = random.Random(settings.seed)
        self.boot_id = secrets.token_hex(8)
        self.running = 0
        self.served = 0
        self.effects: Counter[str] = Counter()
        self.call_by_request: dict[str, str] = {}

    async def call(self, operation: str, key: str, request_id: str) -> Response[bytes]:
        faults = self.faults
        if faults.down:
            return _error_response(503, "service is down")
        if self.rng.random() < faults.error_before:
            return _error_response(500, "failed before any effect")
        await asyncio.sleep(self.settings.work_s + faults.slow_s)
        effect_count = self.record_effect(operation, key, request_id)
        await asyncio.sleep(faults.stall_s)
        if self.rng.random() < faults.error_after:
            return _error_response(500, "failed after the effect")
        result = {
            "service": self.settings.name,
            "operation": operation,
            "key": key,
            "reference": f"{operation}-{len(self.call_by_request)}",
            "effect": effect_count,
        }
        if self.rng.random() < faults.cut_after:
            content = msgspec.json.encode(result)
            # The declared length exceeds the content, so uvicorn closes the connection.
            return Response(
                content[:-TRUNCATED_BYTES],
                media_type="application/json",
                headers={"content-length": str(len(content))},
            )
        return _json_response(result)

    def record_effect(self, operation: str, key: str, request_id: str) -> int:
        name = f"{operation}/{key}"
        self.effects[name] += 1
        if request_id:
            self.call_by_request[request_id] = name
        return self.effects[name]


def build_app(settings: ServiceSettings) -> Litestar:
    """Build an application with its own effects and faults."""
    service = _Service(settings)

    @post("/v1/{operation:str}", status_code=200)
    async def call(operation: FromPath[str], request: Request[Any, Any, Any]) -> Response[bytes]:
        await request.body()
        service.running += 1
        try:
            return await service.call(
                operation,
                request.headers.get("idempotency-key", ""),
                request.headers.get("x-request-id", ""),
            )
        finally:
            service.running -= 1
            service.served += 1

    @get("/effects")
    async def list_effects() -> Response[bytes]:
        """Return the number of effects by ``operation/key``, and the call by request id.

        The key is empty for calls without an idempotency key.
        """
        return _json_response({"effects": service.effects, "requests": service.call_by_request})

    @get("/load")
    async def report_load() -> Response[bytes]:
        if service.faults.down:
            return _error_response(503, "service is down")
        return _json_response(
            {
                "boot_id": service.boot_id,
                "restarts": 0,
                "running": service.running,
                "waiting": 0,
                "capacity": settings.capacity,
                "served": service.served,
            }
        )

    @put("/faults")
    async def set_faults(request: Request[Any, Any, Any]) -> Response[bytes]:
        try:
            service.faults = msgspec.json.decode(await request.body(), type=ServiceFaults)
        except msgspec.DecodeError as exc:
            return _error_response(400, str(exc))
        return _json_response(service.faults)

    return Litestar([call, list_effects, report_load, set_faults], openapi_config=None)
