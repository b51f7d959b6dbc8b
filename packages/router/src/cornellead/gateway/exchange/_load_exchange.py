"""Tells other routers how many requests this one has at each server."""

from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING
from typing import cast

import msgspec
import structlog

from cornellead.gateway.beliefs import RouterLoad
from cornellead_core.routing import RouterPlace

if TYPE_CHECKING:
    from collections.abc import Callable

    from cornellead.gateway.beliefs import FleetView

INTERVAL_S = 0.2
"""Shortest time between reports: a tenth of the time that a request takes."""
MAX_PEERS = 8
"""Routers that get each report; with more routers, each is told by a random part of them."""
BYTES_PER_S = 1900.0
"""Bytes a second that reports may take, of the 3 KB/s that a node may spend on control; the rest is
for notices."""
DATAGRAM_OVERHEAD_BYTES = 28
"""Headers of IP and UDP."""

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(RouterLoad)


class LoadExchange(asyncio.DatagramProtocol):
    """Sends and receives reports; a lost one is replaced by the next.

    :param address: ``ip:port`` to listen on.
    """

    name = "exchange-load"

    def __init__(self, *, view: FleetView, address: str, clock: Callable[[], float]) -> None:
        self._view = view
        self._address = address
        self._clock = clock
        self._transport: asyncio.DatagramTransport | None = None
        self._random = random.Random()
        self._heard = False
        self.bytes_sent = 0
        self.unreadable = 0
        """Datagrams that were no report."""

    async def run(self) -> None:
        """Report until cancelled."""
        host, _, port = self._address.rpartition(":")
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(lambda: self, local_addr=(host, int(port)))
        while True:
            sent = self._report()
            await asyncio.sleep(max(INTERVAL_S, sent / BYTES_PER_S))

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        # The event loop's transport does not derive from the public class.
        self._transport = cast("asyncio.DatagramTransport", transport)

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Take a report.

        Its sender listens on the address from which it came. A router that starts while the store
        is out learns so where others are.
        """
        try:
            load = _decoder.decode(data)
        except msgspec.DecodeError:
            self.unreadable += 1
            if self.unreadable == 1:
                structlog.get_logger().warning("unreadable load report", sender=str(addr))
            return
        now = self._clock()
        self._view.load.take(load, now=now)
        place = RouterPlace(f"{addr[0]}:{addr[1]}", data_centre="")
        self._view.hear_router(load.router, place, now=now)
        self._note_heard(True)

    def error_received(self, exc: Exception) -> None:
        """Ignore that a router is gone: its announcement expires."""

    def _note_heard(self, heard: bool) -> None:
        if heard != self._heard:
            self._heard = heard
            event = "load reports heard" if heard else "load reports missing"
            structlog.get_logger().info(event, routers=len(self._view.routers(now=self._clock())))

    def _report(self) -> int:
        self._view.load.tidy(now=self._clock())
        self._note_heard(len(self._view.load) > 0)
        peers = [place.address for place in self._view.peers(now=self._clock()).values()]
        if not peers or self._transport is None:
            return 0
        report = _encoder.encode(RouterLoad(self._view.router, self._view.servers.own_counts()))
        for address in self._random.sample(peers, min(MAX_PEERS, len(peers))):
            host, _, port = address.rpartition(":")
            self._transport.sendto(report, (host, int(port)))
        sent = min(MAX_PEERS, len(peers)) * (len(report) + DATAGRAM_OVERHEAD_BYTES)
        self.bytes_sent += sent
        return sent
