"""Listening socket that is opened before the rest of a process is loaded."""

from __future__ import annotations

import asyncio
import subprocess
import sys
from typing import TYPE_CHECKING

from tests.router.gateway.builders import LIMITS
from tests.router.gateway.gateway_harness import encode_request
from tests.router.gateway.gateway_harness import read_response

from cornellead.gateway import open_listening_socket
from cornellead.gateway.ingress import CallerListener
from cornellead.gateway.ingress import ServingState

if TYPE_CHECKING:
    from collections.abc import Callable

    from cornellead.gateway.ingress import CallerRequest
    from cornellead.gateway.ingress import ResponseWriter

LOADED_LATER = ("asyncio", "prometheus_client", "structlog", "cornellead.gateway.process")


class Echo:
    """Responds with the body of the request."""

    async def handle(self, req: CallerRequest, out: ResponseWriter) -> None:
        out.respond(200, (), req.body)


async def test_connections_before_startup_are_served(free_address: Callable[[], str]) -> None:
    """Guards against connections that are reset while a restarted router loads its libraries."""
    address = free_address()
    sock = open_listening_socket(address)
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(encode_request("/unsafe/1", body=b"early"))
    listener = CallerListener(
        address=address,
        handler=Echo(),
        serving=ServingState(),
        limits=lambda: LIMITS,
        clock=asyncio.get_running_loop().time,
        sock=sock,
    )
    await listener.start()
    response = await read_response(reader)
    assert (response.status, response.body) == (200, b"early")
    writer.close()
    listener.stop_accepting()


def test_listening_imports_no_slow_module() -> None:
    """Guards against an import that delays the listening socket of a restarted router."""
    code = (
        "import sys, cornellead.cli._gateway, cornellead.gateway\n"
        "from cornellead_platform import load_node_settings\n"
        f"print([name for name in {LOADED_LATER!r} if name in sys.modules])"
    )
    done = subprocess.run(
        [sys.executable, "-c", code], capture_output=True, text=True, check=True, timeout=30
    )
    assert done.stdout.strip() == "[]"
