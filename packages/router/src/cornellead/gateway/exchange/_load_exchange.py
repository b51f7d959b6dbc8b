"""Sends this router's in-flight requests at each server, evidence on crashes, and rate limits of
servers to other routers."""

from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING
from typing import cast

import msgspec
import structlog

from cornellead.gateway.exchange._report_channel import EvidenceChannel
from cornellead.gateway.exchange._report_channel import RateLimitChannel
from cornellead.gateway.view import RouterLoad
from cornellead_core.decoding import UNREADABLE
from cornellead_core.routing import RouterLocation
from cornellead_core.routing import parse_address

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Sequence

    from cornellead.gateway.exchange._report_channel import ReportChannel
    from cornellead.gateway.view import FleetView

MIN_INTERVAL_S = 0.2
"""Minimum time between reports: a tenth of the duration of a request."""
MAX_RECIPIENTS = 8
"""Maximum number of recipients of a report; with more routers, each report goes to a random
sample."""
MAX_BYTES_PER_S = 1900.0
"""Maximum bytes per second for reports, out of the 3 KB/s that a node may use for control traffic;
the rest is for notices."""
DATAGRAM_OVERHEAD_BYTES = 28
"""Size of the IP and UDP headers."""

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(RouterLoad)


class LoadExchange(asyncio.DatagramProtocol):
    """Sends and receives load reports, evidence on crashes, rate limits and other reports.

    A lost load report is superseded by the next one; all else is sent several times.

    :param address: ``ip:port`` to listen on.
    :param channels: Further kinds of reports, each with a prefix of its own.
    """

    name = "exchange-load"

    def __init__(
        self,
        *,
        view: FleetView,
        address: str,
        clock: Callable[[], float],
        channels: Sequence[ReportChannel] = (),
    ) -> None:
        self._view = view
        known: tuple[ReportChannel, ...] = (
            EvidenceChannel(guard=view.guard),
            RateLimitChannel(limits=view.rate_limits),
            *channels,
        )
        # One prefix may begin another, so the longest is compared first.
        self._channels = sorted(known, key=lambda channel: len(channel.prefix), reverse=True)
        self._address = address
        self._clock = clock
        self._transport: asyncio.DatagramTransport | None = None
        self._random = random.Random()
        self._receiving = False
        self.bytes_sent = 0
        self.invalid_datagrams = 0
        """Number of received datagrams that were not valid reports."""

    async def run(self) -> None:
        """Listen for reports and send them until cancelled."""
        host, _, port = self._address.rpartition(":")
        loop = asyncio.get_running_loop()
        transport, _ = await loop.create_datagram_endpoint(
            lambda: self, local_addr=(host, int(port))
        )
        try:
            await self._send_reports()
        finally:
            transport.close()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport, which the event loop passes once the socket is bound."""
        # The event loop's transport class does not inherit from DatagramTransport.
        self._transport = cast("asyncio.DatagramTransport", transport)

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Store a report and the address of its sender.

        The sender listens on the address that it sends from, so a router that starts during a store
        outage discovers other routers this way.
        """
        now = self._clock()
        try:
            for channel in self._channels:
                if data.startswith(channel.prefix):
                    channel.apply(data[len(channel.prefix) :], now=now)
                    return
            load = _decoder.decode(data)
        except UNREADABLE:
            self.invalid_datagrams += 1
            if self.invalid_datagrams == 1:
                structlog.get_logger().warning("unreadable load report", sender=str(addr))
            return
        self._view.load.record_report(load, now=now)
        location = RouterLocation(f"{addr[0]}:{addr[1]}", data_centre="")
        self._view.add_reporting_router(load.router, location, now=now)
        self._log_reception(True)

    def error_received(self, exc: Exception) -> None:
        """Ignore an unreachable router: its announcement expires."""

    async def _send_reports(self) -> None:
        while True:
            sent_bytes = self._send_report()
            interval_s = max(MIN_INTERVAL_S, sent_bytes / MAX_BYTES_PER_S)
            next_report_at = self._clock() + interval_s
            others = len(self._view.routers(now=self._clock())) - 1
            self._view.load.interval_s = interval_s * max(1.0, others / MAX_RECIPIENTS)
            while (wait_s := next_report_at - self._clock()) > 0:
                await asyncio.sleep(min(MIN_INTERVAL_S, wait_s))
                if any(channel.has_news for channel in self._channels):
                    next_report_at += self._send(self._encode_news()) / MAX_BYTES_PER_S

    def _log_reception(self, receiving: bool) -> None:
        if receiving != self._receiving:
            self._receiving = receiving
            event = "load reports heard" if receiving else "load reports missing"
            structlog.get_logger().info(event, routers=len(self._view.routers(now=self._clock())))

    def _send_report(self) -> int:
        self._view.load.evict_expired(now=self._clock())
        self._log_reception(len(self._view.load) > 0)
        load = _encoder.encode(RouterLoad(self._view.router, self._view.servers.in_flight_counts()))
        return self._send([load, *self._encode_news()])

    def _encode_news(self) -> list[bytes]:
        now = self._clock()
        reports = ((channel.prefix, channel.encode(now=now)) for channel in self._channels)
        return [prefix + report for prefix, report in reports if report is not None]

    def _send(self, datagrams: Sequence[bytes]) -> int:
        """Send datagrams to some routers and return the bytes on the wire."""
        peers = [
            address
            for location in self._view.peers(now=self._clock()).values()
            if (address := parse_address(location.address)) is not None
        ]
        if not peers or self._transport is None:
            return 0
        sent_bytes = 0
        for address in self._random.sample(peers, min(MAX_RECIPIENTS, len(peers))):
            for datagram in datagrams:
                self._transport.sendto(datagram, address)
                sent_bytes += len(datagram) + DATAGRAM_OVERHEAD_BYTES
        self.bytes_sent += sent_bytes
        return sent_bytes
