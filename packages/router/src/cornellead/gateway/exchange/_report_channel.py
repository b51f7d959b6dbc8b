"""Kinds of reports that routers send to each other in datagrams."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Protocol

import msgspec

from cornellead.gateway.quarantine import Evidence
from cornellead.gateway.view import RateLimitReport

if TYPE_CHECKING:
    from cornellead.gateway.quarantine import PromptGuard
    from cornellead.gateway.view import RateLimits

EVIDENCE_PREFIX = b"\xc1"
"""First byte of datagrams with evidence on crashes; no MessagePack value begins with it."""
RATE_LIMIT_PREFIX = b"\xc1\xc1"
"""First bytes of datagrams with rate limits of servers."""

_encoder = msgspec.msgpack.Encoder()
_evidence_decoder = msgspec.msgpack.Decoder(Evidence)
_rate_limit_decoder = msgspec.msgpack.Decoder(RateLimitReport)


class ReportChannel(Protocol):
    """Makes and applies the reports of one kind.

    A lost report is not sent again by the exchange: a channel repeats what has to arrive.
    """

    @property
    def prefix(self) -> bytes:
        """First bytes of the channel's datagrams; they begin with ``0xc1``."""
        ...

    @property
    def has_news(self) -> bool:
        """Whether there is something to send before the next load report is due."""
        ...

    def encode(self, *, now: float) -> bytes | None:
        """Return the next report without its prefix; ``None`` if there is nothing to send.

        :param now: Seconds.
        """
        ...

    def apply(self, data: bytes, *, now: float) -> None:
        """Apply the report of another router, without its prefix.

        :param now: Seconds.
        :raises Exception: One of `cornellead_core.decoding.UNREADABLE`.
        """
        ...


class EvidenceChannel:
    """Evidence on prompt parts that crash servers."""

    prefix = EVIDENCE_PREFIX

    def __init__(self, *, guard: PromptGuard) -> None:
        self._guard = guard

    @property
    def has_news(self) -> bool:
        """Whether there is evidence that was in no report yet."""
        return self._guard.has_new_evidence

    def encode(self, *, now: float) -> bytes | None:
        """Return the next evidence."""
        evidence = self._guard.make_evidence(now=now)
        return None if evidence is None else _encoder.encode(evidence)

    def apply(self, data: bytes, *, now: float) -> None:
        """Apply the evidence of another router."""
        self._guard.apply_evidence(_evidence_decoder.decode(data), now=now)


class RateLimitChannel:
    """Rate limits that servers named."""

    prefix = RATE_LIMIT_PREFIX

    def __init__(self, *, limits: RateLimits) -> None:
        self._limits = limits

    @property
    def has_news(self) -> bool:
        """Whether there are limits that were in no report yet."""
        return self._limits.has_news

    def encode(self, *, now: float) -> bytes | None:
        """Return the next limits."""
        report = self._limits.make_report(now=now)
        return None if report is None else _encoder.encode(report)

    def apply(self, data: bytes, *, now: float) -> None:
        """Apply the limits that another router told."""
        self._limits.apply_report(_rate_limit_decoder.decode(data), now=now)
