"""Budget for the summaries that travel in headers of requests and responses."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from cornellead_core.load._digest import DcSummary

HEADER_BYTES_PER_S = 300.0
"""Sent per process. At 1,000 agents and 330 routers a router then receives 900 B/s besides the
reports of the servers it asks; without a limit, 14 summaries in each header were 20 KB/s."""
BURST_BYTES = 1000.0
SUMMARY_BYTES = 31
"""One summary in base64; the slope that `make measure` shows."""


class DigestBudget:
    """Token bucket that lets the freshest summaries through.

    >>> budget = DigestBudget()
    >>> len(budget.select([], now=0.0))
    0
    """

    def __init__(self) -> None:
        self._tokens = BURST_BYTES
        self._filled_at: float | None = None

    def select(self, summaries: Iterable[DcSummary], *, now: float) -> list[DcSummary]:
        """Return the summaries to send, freshest first.

        :param now: Monotonic seconds.
        """
        if self._filled_at is not None:
            earned = (now - self._filled_at) * HEADER_BYTES_PER_S
            self._tokens = min(BURST_BYTES, self._tokens + earned)
        self._filled_at = now
        affordable = int(self._tokens // SUMMARY_BYTES)
        if affordable <= 0:
            return []
        chosen = sorted(summaries, key=lambda summary: summary.age_ms)[:affordable]
        self._tokens -= len(chosen) * SUMMARY_BYTES
        return chosen
