"""Requests whose deadline passes before any server has got them."""

from __future__ import annotations

import socket
import time
from typing import TYPE_CHECKING

from tests.router.gateway.builders import make_entry

if TYPE_CHECKING:
    from tests.router.gateway.gateway_harness import Gateway


async def test_deadline_in_an_open_connect_is_answered_as_not_run(gateway: Gateway) -> None:
    """Guards against a 504, which promises nothing, for a request that was never sent."""
    gateway.configure()
    with socket.create_server(("127.0.0.1", 0), backlog=0) as server:
        address = server.getsockname()
        # Further connections stay in the handshake, since nobody accepts this one.
        queued = socket.create_connection(address)
        entry = make_entry("s1", address=f"{address[0]}:{address[1]}")
        gateway.view.servers.put(entry, now=time.monotonic())
        response = await gateway.call("/unsafe/1", "X-Deadline-Ms: 150")
        queued.close()
    assert response.status == 503
