"""Reports of what routers hold for services whose servers have no free slot."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from cornellead.gateway.view import QueueReport

if TYPE_CHECKING:
    from cornellead.gateway.view import QueueReports

QUEUE_PREFIX = b"\xc1\xc3"
"""First bytes of datagrams with what a router holds."""

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(QueueReport)


class QueueChannel:
    """Requests that wait in routers, by service and urgency."""

    prefix = QUEUE_PREFIX
    has_news = False
    """A report goes with each load report; more of them would exceed the bytes for reports."""

    def __init__(self, *, reports: QueueReports) -> None:
        self._reports = reports

    def encode(self, *, now: float) -> bytes | None:
        """Return the next report."""
        del now
        report = self._reports.make_report()
        return None if report is None else _encoder.encode(report)

    def apply(self, data: bytes, *, now: float) -> None:
        """Apply the report of another router."""
        self._reports.apply_report(_decoder.decode(data), now=now)
