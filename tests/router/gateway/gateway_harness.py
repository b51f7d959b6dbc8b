"""Request path of a gateway without its process, and a caller that speaks raw HTTP."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING
from typing import Any
from typing import NamedTuple

from tests.router.gateway.builders import HOST
from tests.router.gateway.builders import KEY
from tests.router.gateway.builders import LIMITS
from tests.router.gateway.builders import make_config
from tests.router.gateway.builders import make_entry
from tests.router.gateway.policy.test_retry_budgets import BOUNDS

from cornellead.gateway.forwarding import Admission
from cornellead.gateway.forwarding import AttemptSender
from cornellead.gateway.forwarding import CrashWatch
from cornellead.gateway.forwarding import Forwarder
from cornellead.gateway.forwarding import ResponseRelay
from cornellead.gateway.forwarding import ServerPicker
from cornellead.gateway.ingress import CallerListener
from cornellead.gateway.ingress import ServingState
from cornellead.gateway.policy import ColdStartLimiter
from cornellead.gateway.policy import RetryBudgets
from cornellead.gateway.policy import ServerRateLimiter
from cornellead.gateway.stats import GatewayStats
from cornellead.gateway.view import FleetView
from cornellead.upstream import ConnectionPool
from cornellead_core.metrics import Metrics
from cornellead_core.pacing import ReadPacer
from cornellead_platform import PlatformHeaders

if TYPE_CHECKING:
    from tests.router.gateway.scripted_server import ScriptedServer


class CallerResponse(NamedTuple):
    """Response as a caller received it, possibly cut off."""

    status: int
    head: str
    body: bytes
    complete: bool
    """Whether all bytes arrived that the framing announced."""


class Gateway:
    """Listener, forwarder and fleet view of one gateway."""

    def __init__(self, address: str, *, max_connections: int = 100, router: str = "r1") -> None:
        loop = asyncio.get_running_loop()
        clock = time.monotonic
        wire = PlatformHeaders()
        self.address = address
        self.view = FleetView(router=router)
        self.serving = ServingState()
        self.limits = LIMITS
        pacer = ReadPacer(call_soon=loop.call_soon)
        self.pool = ConnectionPool(loop=loop, connect_timeout_s=0.3, pacer=pacer)
        self.sender = AttemptSender(pool=self.pool, wire=wire, clock=clock)
        self.picker = ServerPicker(
            view=self.view,
            cold_limiter=ColdStartLimiter(router=router, burst=BOUNDS.cold_slack),
            rate_limiter=ServerRateLimiter(router=router),
            data_centre="dc-a",
            regions={},
            load_factor=BOUNDS.load_factor,
        )
        self.retries = RetryBudgets(bounds=BOUNDS)
        stats = GatewayStats(metrics=Metrics())
        self.forwarder = Forwarder(
            view=self.view,
            admission=Admission(
                view=self.view,
                serving=self.serving,
                max_config_age_s=BOUNDS.config_delay_s,
            ),
            serving=self.serving,
            picker=self.picker,
            sender=self.sender,
            relay=ResponseRelay(
                wire=wire,
                rate_limits=self.view.rate_limits,
                servers=self.view.servers,
                pool=self.pool,
                stats=stats,
                clock=clock,
            ),
            retries=self.retries,
            wire=wire,
            stats=stats,
            crashes=CrashWatch(pool=self.pool, guard=self.view.guard, stats=stats, clock=clock),
            clock=clock,
        )
        self.listener = CallerListener(
            address=address,
            handler=self.forwarder,
            serving=self.serving,
            limits=lambda: self.limits,
            clock=clock,
            max_connections=max_connections,
            pacer=pacer,
        )

    def configure(
        self,
        *servers: ScriptedServer,
        cold_rate_per_s: float = 0.0,
        cold_s: float = 0.0,
        max_attempts: int = 2,
        **unsafe: Any,
    ) -> None:
        """Put a configuration into force and add servers to the fleet view.

        :param unsafe: Changes to the route whose requests may run once.
        """
        now = time.monotonic()
        self.view.activate_config(
            make_config(cold_rate_per_s=cold_rate_per_s, max_attempts=max_attempts, **unsafe)
        )
        self.view.confirmed_at = now
        self.view.servers_loaded = True
        for number, server in enumerate(servers):
            entry = make_entry(f"s{number}", address=server.address, cold_s=cold_s)
            self.view.servers.put(entry, now=now)

    async def run_stall_checks(self) -> None:
        """Check attempts for a stall until cancelled."""
        while True:
            await asyncio.sleep(0.02)
            self.sender.check_stalled_attempts()

    async def call(
        self,
        path: str,
        *headers: str,
        body: bytes = b"",
        key: str = KEY,
        request_id: str = "7f01",
    ) -> CallerResponse:
        """Send a request on a new connection and return the response."""
        reader, writer = await self.connect()
        writer.write(encode_request(path, *headers, body=body, key=key, request_id=request_id))
        response = await read_response(reader)
        writer.close()
        return response

    def exit(self) -> None:
        """Cut all connections of callers, as the exit of the process does."""
        self.listener.stop_accepting()
        for conn in list(self.listener._conns):
            conn.abort()

    async def connect(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Open a connection to the gateway."""
        host, _, port = self.address.rpartition(":")
        return await asyncio.open_connection(host, int(port))


def encode_request(
    path: str, *headers: str, body: bytes = b"", key: str = KEY, request_id: str = "7f01"
) -> bytes:
    """Return the bytes of a request: a GET for a safe path, else a POST."""
    method = "GET" if path.startswith("/safe") else "POST"
    lines = [f"{method} {path} HTTP/1.1", f"Host: {HOST}"]
    if request_id:
        lines.append(f"X-Request-Id: {request_id}")
    if key:
        lines.append(f"X-Api-Key: {key}")
    if method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, *headers]).encode() + b"\r\n\r\n" + body


async def read_response(reader: asyncio.StreamReader) -> CallerResponse:
    """Read one response; its status is 0 if the connection ended before the head."""
    try:
        head = (await reader.readuntil(b"\r\n\r\n")).decode()
    except (asyncio.IncompleteReadError, ConnectionError):
        return CallerResponse(0, "", b"", False)
    status = int(head.split(" ")[1])
    body = bytearray()
    try:
        if "transfer-encoding: chunked" in head.lower():
            while size := int(await reader.readline(), 16):
                body += (await reader.readexactly(size + 2))[:-2]
            await reader.readline()
        else:
            length = int(head.lower().partition("content-length:")[2].split("\r\n")[0])
            body += await reader.readexactly(length)
    except (asyncio.IncompleteReadError, ConnectionError, ValueError):
        return CallerResponse(status, head, bytes(body), False)
    return CallerResponse(status, head, bytes(body), True)
