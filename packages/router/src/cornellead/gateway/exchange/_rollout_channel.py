"""Reports on versions that are being rolled out."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from cornellead.gateway.view import RolloutReport

if TYPE_CHECKING:
    from cornellead.gateway.view import Rollouts

ROLLOUT_PREFIX = b"\xc1\xc2"
"""First bytes of datagrams with counts of versions."""

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(RolloutReport)


class RolloutChannel:
    """Counts of the responses of both versions of a rollout, and faults that were found."""

    prefix = ROLLOUT_PREFIX

    def __init__(self, *, rollouts: Rollouts) -> None:
        self._rollouts = rollouts

    @property
    def has_news(self) -> bool:
        """Whether a fault was found that was in too few reports yet."""
        return self._rollouts.has_news

    def encode(self, *, now: float) -> bytes | None:
        """Return the next report."""
        report = self._rollouts.make_report(now=now)
        return None if report is None else _encoder.encode(report)

    def apply(self, data: bytes, *, now: float) -> None:
        """Apply the report of another router."""
        self._rollouts.apply_report(_decoder.decode(data), now=now)
