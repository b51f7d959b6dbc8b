"""HTTP application of the stand-in engine."""

from __future__ import annotations

import asyncio
import time
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING
from typing import Any

import msgspec
from litestar import Litestar
from litestar import Request
from litestar import Response
from litestar import asgi
from litestar import get
from litestar import post
from litestar import put
from litestar.params import FromPath
from litestar.types import Receive
from litestar.types import Scope
from litestar.types import Send

from cornellead_standins.engine._chat_api import ChatApi
from cornellead_standins.engine._commands import Command
from cornellead_standins.engine._commands import CommandExecutor
from cornellead_standins.engine._engine import Engine
from cornellead_standins.engine._settings import EngineFaults

if TYPE_CHECKING:
    from collections.abc import AsyncGenerator

    from cornellead_standins.engine._settings import EngineSettings

MAX_LONG_POLL_S = 30.0
EVENT_POLL_INTERVAL_S = 0.05
KV_TRANSFER_BLOCKS_PER_S = 20_000.0
"""Simulated rate of exporting and importing cache blocks."""


class _KvBody(msgspec.Struct):
    blocks: list[int]


def _json_response(body: object, *, status: int = 200) -> Response[bytes]:
    return Response(msgspec.json.encode(body), status_code=status, media_type="application/json")


def _error_response(status: int, message: str) -> Response[bytes]:
    return _json_response({"error": {"message": message}}, status=status)


def build_app(settings: EngineSettings) -> Litestar:
    """Build an application with its own engine."""
    engine = Engine(settings=settings)
    chat_api = ChatApi(engine=engine)
    executor = CommandExecutor(engine=engine)

    @asynccontextmanager
    async def run_engine(_: Litestar) -> AsyncGenerator[None]:
        tasks = [
            asyncio.create_task(engine.run()),
            asyncio.create_task(engine.run_housekeeping()),
        ]
        yield
        for task in tasks:
            task.cancel()

    @asgi("/v1/chat/completions", copy_scope=False)
    async def complete(scope: Scope, receive: Receive, send: Send) -> None:
        await chat_api.complete(scope, receive, send)

    # Mounted because ASGI handlers of Litestar 2.25 respond with status 500 on a path with
    # parameters. In a mount, scope["path"] is only the rest of the path and ends with a slash.
    @asgi("/v1/streams", is_mount=True, copy_scope=False)
    async def resume(scope: Scope, receive: Receive, send: Send) -> None:
        await chat_api.resume(scope, receive, send)

    @get("/load")
    async def report_load() -> Response[bytes]:
        now = time.monotonic()
        if not engine.is_available(now=now):
            return _error_response(503, "engine is starting")
        return _json_response(engine.load(now=now))

    @get("/history")
    async def read_history() -> Response[bytes]:
        return _json_response({"changes": list(engine.load_history)})

    @get("/cache/events")
    async def read_cache_events(request: Request[Any, Any, Any]) -> Response[bytes]:
        from_seq = int(request.query_params.get("from", 1))
        wait_s = min(MAX_LONG_POLL_S, int(request.query_params.get("wait_ms", 0)) / 1000)
        deadline_at = time.monotonic() + wait_s
        while True:
            now = time.monotonic()
            if not engine.is_available(now=now):
                return _error_response(503, "engine is starting")
            events, next_seq, oldest_seq = engine.cache_feed.read(from_seq=from_seq, now=now)
            if events or now >= deadline_at:
                break
            await asyncio.sleep(EVENT_POLL_INTERVAL_S)
        encoded_events = [{"seq": e.seq, "kind": e.kind, "key": e.key} for e in events]
        return _json_response({"events": encoded_events, "next": next_seq, "oldest": oldest_seq})

    @get("/kv/{key:str}")
    async def export_kv(key: FromPath[str]) -> Response[bytes]:
        blocks = engine.cache.export_blocks(key)
        if blocks is None:
            return _error_response(404, "chat is not cached")
        await asyncio.sleep(len(blocks) / KV_TRANSFER_BLOCKS_PER_S)
        return _json_response({"blocks": blocks})

    @put("/kv/{key:str}")
    async def import_kv(key: FromPath[str], request: Request[Any, Any, Any]) -> Response[bytes]:
        try:
            body = msgspec.json.decode(await request.body(), type=_KvBody)
        except msgspec.DecodeError as exc:
            return _error_response(400, str(exc))
        await asyncio.sleep(len(body.blocks) / KV_TRANSFER_BLOCKS_PER_S)
        engine.publish_cache_changes(
            engine.cache.import_blocks(key, body.blocks), now=time.monotonic()
        )
        return _json_response({"blocks": len(body.blocks)})

    @post("/orders", status_code=200)
    async def execute_command(request: Request[Any, Any, Any]) -> Response[bytes]:
        if not engine.is_available(now=time.monotonic()):
            return _error_response(503, "engine is starting")
        try:
            command = msgspec.json.decode(await request.body(), type=Command)
        except msgspec.DecodeError as exc:
            return _error_response(400, str(exc))
        if not executor.execute(command):
            return _error_response(409, f"fence {command.fence} is older than {engine.fence}")
        return _json_response({"fence": engine.fence})

    @put("/faults")
    async def set_faults(request: Request[Any, Any, Any]) -> Response[bytes]:
        try:
            faults = msgspec.json.decode(await request.body(), type=EngineFaults)
        except msgspec.DecodeError as exc:
            return _error_response(400, str(exc))
        engine.apply_faults(faults, now=time.monotonic())
        return _json_response(faults)

    handlers = [
        complete,
        resume,
        report_load,
        read_history,
        read_cache_events,
        export_kv,
        import_kv,
        execute_command,
        set_faults,
    ]
    return Litestar(handlers, lifespan=[run_engine], openapi_config=None)
