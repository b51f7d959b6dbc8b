"""Listening before the process is loaded."""

from __future__ import annotations

import asyncio
import subprocess
import sys
from typing import TYPE_CHECKING

from tests.router.gateway.builders import LIMITS
from tests.router.gateway.gateway_harness import encode
from tests.router.gateway.gateway_harness import read_answer

from cornellead.gateway import open_listening_socket
from cornellead.gateway.ingress import CallerListener
from cornellead.gateway.ingress import Serving

if TYPE_CHECKING:
    from collections.abc import Callable

    from cornellead.gateway.ingress import CallerRequest
    from cornellead.gateway.ingress import ResponseWriter

LOADED_LATER = ("asyncio", "prometheus_client", "structlog", "cornellead.gateway.process")


class Echo:
    """Answers with the body."""

    async def handle(self, req: CallerRequest, out: ResponseWriter) -> None:
        out.respond(200, (), req.body)


async def test_callers_that_connect_early_are_served(free_address: Callable[[], str]) -> None:
    """Guards against connections that are reset because a restarted router loads its libraries."""
    address = free_address()
    sock = open_listening_socket(address)
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(encode("/unsafe/1", body=b"early"))
    listener = CallerListener(
        address=address,
        handler=Echo(),
        serving=Serving(),
        limits=lambda: LIMITS,
        clock=asyncio.get_running_loop().time,
        sock=sock,
    )
    await listener.start()
    answer = await read_answer(reader)
    assert (answer.status, answer.body) == (200, b"early")
    writer.close()
    listener.stop_accepting()


def test_listening_needs_no_slow_import() -> None:
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
