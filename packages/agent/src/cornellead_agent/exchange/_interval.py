"""Interval of the exchange within the byte budget."""

from __future__ import annotations

MIN_INTERVAL_S = 0.1
LOAD_BUDGET_BYTES_PER_S = 1800.0
"""Part of the 3 KB/s for control that load may use; configuration uses the rest."""
PAIR_BYTES = 112
"""Request and answer with the summary of one server each, with MAC and framing."""
LINK_BYTES = 184
"""Report and answer with two summaries; a test compares both with the codec."""


def round_interval_s(*, exchanges: int, exchange_bytes: int) -> float:
    """Return the time between rounds in seconds.

    :param exchanges: Exchanges of a round in which a process takes part, on either side.

    >>> round_interval_s(exchanges=1, exchange_bytes=PAIR_BYTES)
    0.1
    >>> round(round_interval_s(exchanges=5, exchange_bytes=PAIR_BYTES), 3)
    0.311
    """
    return max(MIN_INTERVAL_S, exchanges * exchange_bytes / LOAD_BUDGET_BYTES_PER_S)
