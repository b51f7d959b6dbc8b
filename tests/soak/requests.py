"""Requests of the soak test to gateways, the routes for them, and violations that they show."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING
from typing import NamedTuple

from tests.router.gateway.gateway_harness import read_response

if TYPE_CHECKING:
    from tests.router.gateway.gateway_harness import CallerResponse


class Violation(NamedTuple):
    """One observed violation of a guarantee."""

    guarantee: str
    subject: str
    """Request id, or address of the gateway."""
    detail: str


Streams = tuple[asyncio.StreamReader, asyncio.StreamWriter]


async def connect(address: str) -> Streams:
    """Open a connection to a gateway."""
    host, _, port = address.rpartition(":")
    return await asyncio.open_connection(host, int(port))


async def exchange(
    streams: Streams, path: str, request_id: str, prompt: str = ""
) -> CallerResponse:
    """Send a request on a connection and read the response.

    :param prompt: Header line with the prompt, or empty.
    """
    reader, writer = streams
    head = f"POST /{path}/x HTTP/1.1\r\nHost: box.example\r\nX-Request-Id: {request_id}"
    head += f"\r\n{prompt}" if prompt else ""
    writer.write(f"{head}\r\nX-Deadline-Ms: 2500\r\nContent-Length: 0\r\n\r\n".encode())
    return await read_response(reader)


def make_route(name: str, kind: str, **changes: object) -> dict[str, object]:
    """Return a route of the operators' configuration."""
    route: dict[str, object] = {
        "name": name,
        "hostname": "box.example",
        "path_prefix": f"/{name}/",
        "kind": kind,
        "timeout_ms": 2500,
        "target_latency_ms": 200,
        "priority": 1,
        "service": "app",
        "public": True,
    }
    return route | changes
