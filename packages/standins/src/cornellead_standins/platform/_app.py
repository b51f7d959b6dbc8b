"""HTTP application of the stand-in platform."""

from __future__ import annotations

import asyncio
import random
import time
from typing import TYPE_CHECKING
from typing import Any

import msgspec
import xxhash
from litestar import Litestar
from litestar import Request
from litestar import Response
from litestar import delete
from litestar import get
from litestar import post
from litestar import put
from litestar.params import FromPath

from cornellead_standins.platform._host_registry import HostRegistry
from cornellead_standins.platform._log_store import LogStore
from cornellead_standins.platform._settings import PlatformFaults
from cornellead_standins.platform._token_bucket import TokenBucket

if TYPE_CHECKING:
    from cornellead_standins.platform._settings import PlatformSettings

LOST_ANSWER_DELAY_S = 3.0
"""Delay of a response that counts as lost; longer than the timeout of clients (2 s)."""
MAX_LONG_POLL_S = 30.0


class _AppendBody(msgspec.Struct):
    records: list[dict[str, Any]]


def _json_response(body: object, *, status: int = 200) -> Response[bytes]:
    return Response(msgspec.json.encode(body), status_code=status, media_type="application/json")


def _error_response(status: int, message: str) -> Response[bytes]:
    return _json_response({"error": {"message": message}}, status=status)


class _Platform:
    def __init__(self, settings: PlatformSettings) -> None:
        self.settings = settings
        self.faults = PlatformFaults()
        self.log = LogStore(
            retention_s=settings.retention_s, retention_records=settings.retention_records
        )
        self.hosts = HostRegistry()
        self.append_limiter = TokenBucket(per_s=settings.appends_per_s)
        self.weight_limiter = TokenBucket(per_s=settings.weight_fetches_per_s)
        self.rng = random.Random(settings.seed)
        self.append_events: dict[str, asyncio.Event] = {}
        self.background_tasks: set[asyncio.Task[None]] = set()

    def store(self, stream: str, records: list[dict[str, Any]]) -> int:
        first = self.log.append(stream, records, time_ms=time.time_ns() // 1_000_000)
        event = self.append_events.pop(stream, None)
        if event is not None:
            event.set()
        return first

    async def store_delayed(self, stream: str, records: list[dict[str, Any]]) -> None:
        await asyncio.sleep(self.faults.late_append_s)
        self.store(stream, records)

    async def append(self, stream: str, records: list[dict[str, Any]]) -> Response[bytes]:
        if self.faults.log_outage:
            return _error_response(503, "log outage")
        if not self.append_limiter.try_acquire(now=time.monotonic()):
            return _error_response(429, "append rate exceeded; retry later")
        if self.rng.random() >= self.faults.lost_answers:
            return _json_response({"first_offset": self.store(stream, records)})
        if self.faults.late_append_s > 0:
            task = asyncio.create_task(self.store_delayed(stream, records))
            self.background_tasks.add(task)
            task.add_done_callback(self.background_tasks.discard)
        else:
            self.store(stream, records)
        await asyncio.sleep(LOST_ANSWER_DELAY_S)
        return _error_response(504, "answer lost")

    async def read(
        self, stream: str, from_offset: int, limit: int, wait_s: float
    ) -> Response[bytes]:
        if self.faults.log_outage:
            return _error_response(503, "log outage")
        if wait_s > 0 and self.log.end_offset(stream) <= from_offset:
            event = self.append_events.setdefault(stream, asyncio.Event())
            try:
                await asyncio.wait_for(event.wait(), min(wait_s, MAX_LONG_POLL_S))
            except TimeoutError:
                pass
            if self.faults.log_outage:
                return _error_response(503, "log outage")
        now_ms = time.time_ns() // 1_000_000
        return _json_response(
            self.log.read(stream, from_offset=from_offset, limit=limit, time_ms=now_ms)
        )


def build_app(settings: PlatformSettings) -> Litestar:
    """Build an application with its own state: streams, hosts and faults."""
    platform = _Platform(settings)

    @post("/log/{stream:str}")
    async def append(stream: FromPath[str], request: Request[Any, Any, Any]) -> Response[bytes]:
        try:
            body = msgspec.json.decode(await request.body(), type=_AppendBody)
        except msgspec.DecodeError as exc:
            return _error_response(400, str(exc))
        await asyncio.sleep(platform.faults.slow_s)
        return await platform.append(stream, body.records)

    @get("/log/{stream:str}")
    async def read(stream: FromPath[str], request: Request[Any, Any, Any]) -> Response[bytes]:
        query = request.query_params
        await asyncio.sleep(platform.faults.slow_s)
        return await platform.read(
            stream,
            int(query.get("from", 0)),
            int(query.get("limit", 1000)),
            int(query.get("wait_ms", 0)) / 1000,
        )

    @put("/copy")
    async def save_copy() -> Response[bytes]:
        platform.log.save_copy()
        return _json_response({})

    @post("/restore", status_code=200)
    async def restore_copy() -> Response[bytes]:
        platform.log.restore_copy(time_ms=time.time_ns() // 1_000_000)
        return _json_response({})

    @get("/hosts")
    async def list_hosts(request: Request[Any, Any, Any]) -> Response[bytes]:
        faults = platform.faults
        await asyncio.sleep(faults.slow_s)
        if faults.hosts_outage:
            return _error_response(503, "host list outage")
        lag_s = settings.host_lag_s if faults.host_lag_s is None else faults.host_lag_s
        content = msgspec.json.encode(
            {"hosts": platform.hosts.snapshot(now=time.monotonic(), lag_s=lag_s)}
        )
        etag = f'"{xxhash.xxh3_64_hexdigest(content)}"'
        if request.headers.get("if-none-match") == etag:
            return Response(b"", status_code=304, headers={"etag": etag})
        return Response(content, media_type="application/json", headers={"etag": etag})

    @put("/hosts/{name:str}")
    async def put_host(name: FromPath[str], request: Request[Any, Any, Any]) -> Response[bytes]:
        entry = msgspec.json.decode(await request.body())
        platform.hosts.put(name, {**entry, "name": name}, now=time.monotonic())
        return _json_response({})

    @delete("/hosts/{name:str}", status_code=200)
    async def delete_host(name: FromPath[str]) -> Response[bytes]:
        was_listed = platform.hosts.delete(name, now=time.monotonic())
        return (
            _json_response({}) if was_listed else _error_response(404, f"host {name} is not listed")
        )

    @get("/weights/{model:str}/{version:str}")
    async def fetch_weights(model: FromPath[str], version: FromPath[str]) -> Response[bytes]:
        if platform.faults.weights_outage:
            return _error_response(503, "weight store outage")
        if not platform.weight_limiter.try_acquire(now=time.monotonic()):
            return _error_response(429, "weight store is busy; retry later")
        content = f"{model}/{version}\n".encode()
        return Response(content.ljust(settings.weight_bytes, b"\0"), media_type="application/x-raw")

    @put("/faults")
    async def set_faults(request: Request[Any, Any, Any]) -> Response[bytes]:
        try:
            platform.faults = msgspec.json.decode(await request.body(), type=PlatformFaults)
        except msgspec.DecodeError as exc:
            return _error_response(400, str(exc))
        return _json_response(platform.faults)

    @get("/healthz")
    async def health() -> Response[bytes]:
        return _json_response({"status": "ok"})

    handlers = [append, read, save_copy, restore_copy, list_hosts, put_host, delete_host]
    handlers += [fetch_weights, set_faults, health]
    return Litestar(handlers, openapi_config=None)
