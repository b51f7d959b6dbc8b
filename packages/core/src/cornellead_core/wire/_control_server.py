"""Server of the control protocol."""

from __future__ import annotations

import asyncio
import resource
import socket
from typing import TYPE_CHECKING
from typing import TypeAlias

from returns.result import Success

from cornellead_core.buffers import BufferBudget
from cornellead_core.connections import ACCEPTS_PER_TURN
from cornellead_core.connections import OpenConnections
from cornellead_core.connections import lengthen_accept_queue
from cornellead_core.connections import make_bounds
from cornellead_core.pacing import ReadPacer
from cornellead_core.wire._codec import decode_message
from cornellead_core.wire._codec import encode_message
from cornellead_core.wire._control_connection import ControlConnection

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    from cornellead_core.auth import FleetKey
    from cornellead_core.metrics import Metrics
    from cornellead_core.wire._messages import Message
    from cornellead_core.wire._traffic import Traffic

    Handler: TypeAlias = Callable[[Message], Awaitable[Message]]

BACKLOG = 1024
"""Length of the accept queue."""
MAX_CONNECTIONS = 2048
"""Default bound on connections of peers: 1,330 routers and agents may report to the same one."""
DESCRIPTOR_SHARE = 0.2
"""Fraction of the descriptors of a process for them, where it has fewer."""


class ControlServer:
    """Controller that listens for control messages and replies to them.

    It speaks the SP request protocol itself, since the library of the client bounds neither the
    number of connections nor the sum of unfinished messages.

    :param address: ``ip:port`` to listen on.
    :param handler: Returns the reply to a message, without waiting for the network.
    :param pacer: Shares the reads of the process among peers; ``None`` for these peers alone.
    :param budget: Bounds what the process holds for peers; ``None`` for these peers alone.
    """

    name = "control-server"

    def __init__(
        self,
        *,
        address: str,
        key: FleetKey,
        traffic: Traffic,
        handler: Handler,
        pacer: ReadPacer | None = None,
        budget: BufferBudget | None = None,
        max_connections: int = MAX_CONNECTIONS,
    ) -> None:
        self._address = address
        self._key = key
        self._traffic = traffic
        self._handler = handler
        self._pacer = pacer
        self._budget = BufferBudget() if budget is None else budget
        descriptors, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
        total = min(max_connections, int(DESCRIPTOR_SHARE * descriptors))
        self._conns: OpenConnections[ControlConnection] = OpenConnections(bounds=make_bounds(total))

    def register_metrics(self, metrics: Metrics) -> None:
        """Create the metrics of peers, which are read when they are rendered."""
        metrics.gauge("control_connections", "Open connections of control peers").set_function(
            lambda: len(self._conns)
        )
        metrics.gauge(
            "refused_control_connections",
            "Connections of control peers that were closed at once, since a bound was reached",
        ).set_function(lambda: self._conns.refused)

    async def run(self) -> None:
        """Listen until cancelled.

        :raises OSError: The address cannot be used.
        """
        loop = asyncio.get_running_loop()
        pacer = self._pacer or ReadPacer(call_soon=loop.call_soon)
        failed: asyncio.Future[None] = loop.create_future()

        def fail(exc: BaseException) -> None:
            if not failed.done():
                failed.set_exception(exc)

        def accept() -> ControlConnection:
            conn = ControlConnection(
                pacer=pacer,
                conns=self._conns,
                budget=self._budget,
                handle=self._reply_to,
                on_failed=fail,
            )
            self._conns.add(conn)
            return conn

        sock = _open_listening_socket(self._address)
        server = await loop.create_server(accept, sock=sock, backlog=ACCEPTS_PER_TURN)
        lengthen_accept_queue(server, BACKLOG)
        try:
            await failed
        finally:
            server.close()
            for conn in self._conns:
                conn.abort()

    async def _reply_to(self, request: bytes) -> bytes | None:
        self._traffic.count_received(request)
        decoded = decode_message(request, key=self._key)
        if not isinstance(decoded, Success):
            # No reply: a peer without the fleet key gets no information, only a timeout.
            self._traffic.messages_rejected += 1
            return None
        reply = encode_message(await self._handler(decoded.unwrap()), key=self._key)
        # Counted before sending, so that the counters include every reply that a peer has received.
        self._traffic.count_sent(reply)
        return reply


def _open_listening_socket(address: str) -> socket.socket:
    """Listen at once, so that peers which connect meanwhile wait and need not retry."""
    host, _, port = address.rpartition(":")
    family = socket.AF_INET6 if host.startswith("[") else socket.AF_INET
    sock = socket.create_server((host.strip("[]"), int(port)), family=family, backlog=BACKLOG)
    sock.setblocking(False)
    return sock
