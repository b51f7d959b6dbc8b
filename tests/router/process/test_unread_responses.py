"""Callers of the own interface that read nothing, or open many connections."""

from __future__ import annotations

import asyncio
from contextlib import asynccontextmanager
from functools import partial
from typing import TYPE_CHECKING
from typing import Any

from cornellead.process._http_protocol import HttpProtocol
from cornellead.process._http_server import HttpServer
from cornellead_core.pacing import ReadPacer

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from collections.abc import Callable

    from litestar.types import Receive
    from litestar.types import Scope
    from litestar.types import Send

REQUEST = b"GET /a HTTP/1.1\r\nHost: b\r\n\r\n"
REQUESTS = 30
RESPONSE = b"r" * (1 << 20)
UNREAD_TIMEOUT_S = 0.8


class _LargeApp:
    """Answers each request with a large response."""

    def __init__(self, response: bytes = RESPONSE) -> None:
        self.handled = 0
        self.response = response

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        del scope, receive
        self.handled += 1
        headers = [(b"content-length", b"%d" % len(self.response))]
        await send({"type": "http.response.start", "status": 200, "headers": headers})
        await send({"type": "http.response.body", "body": self.response, "more_body": False})


@asynccontextmanager
async def _serve(address: str, app: _LargeApp) -> AsyncIterator[HttpServer]:
    pacer = ReadPacer(call_soon=asyncio.get_running_loop().call_soon)
    server = HttpServer(app=app, address=address, pacer=pacer)
    protocol: Any = partial(
        HttpProtocol, pacer=pacer, max_connections=2, unread_timeout_s=UNREAD_TIMEOUT_S
    )
    server.config.http = protocol
    serving = asyncio.create_task(server.serve())
    while not server.started:
        await asyncio.sleep(0.01)
    yield server
    server.should_exit = server.force_exit = True
    await serving


async def _connect(address: str) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    host, _, port = address.rpartition(":")
    return await asyncio.open_connection(host, int(port), limit=1024)


async def test_caller_that_reads_nothing_is_closed(free_address: Callable[[], str]) -> None:
    """Guards against responses that pile up, and connections that they hold open for ever."""
    app, address = _LargeApp(), free_address()
    async with _serve(address, app) as server:
        _, writer = await _connect(address)
        writer.write(REQUEST * REQUESTS)
        async with asyncio.timeout(10.0):
            while not app.handled or server.server_state.connections:
                await asyncio.sleep(0.05)
        assert app.handled < REQUESTS
        writer.close()


async def test_caller_that_leaves_little_unread_is_closed(
    free_address: Callable[[], str],
) -> None:
    """Guards against connections that are held open for ever by less than the high-water mark."""
    app, address = _LargeApp(b"r" * 4096), free_address()
    async with _serve(address, app) as server:
        _reader, writer = await _connect(address)
        unsent_bytes = 0
        while not unsent_bytes:
            handled = app.handled
            writer.write(REQUEST)
            while app.handled == handled:
                await asyncio.sleep(0)
            conns: Any = list(server.server_state.connections)
            unsent_bytes = conns[0].transport.get_write_buffer_size()
        assert unsent_bytes < 64 << 10
        async with asyncio.timeout(10.0):
            while server.server_state.connections:
                await asyncio.sleep(0.05)
        writer.close()


async def test_connections_are_bounded(free_address: Callable[[], str]) -> None:
    """Guards against callers that leave no descriptor for servers."""
    app, address = _LargeApp(), free_address()
    async with _serve(address, app):
        conns = [await _connect(address) for _ in range(4)]
        for _, writer in conns:
            writer.write(REQUEST)
        heads = []
        for reader, writer in conns:
            try:
                heads.append(await reader.readline())
            except ConnectionError:
                heads.append(b"")
            writer.close()
        assert [bool(head) for head in heads] == [True, True, False, False]
