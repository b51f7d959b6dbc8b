"""Interval of the exchange within the byte budget."""

from __future__ import annotations

MIN_INTERVAL_S = 0.1
LOAD_BUDGET_BYTES_PER_S = 2000.0
"""Part of the 3 KB/s for control that load may use; configuration uses the rest."""
MESSAGE_BYTES = 32
"""Message without content: type, MAC, framing and lists; a test compares it with the codec."""
SUMMARY_BYTES = 36


def round_interval_s(*, exchanges: int, summaries: int) -> float:
    """Return the time between rounds in seconds.

    :param exchanges: Exchanges of a round in which this process takes part, on either side.
    :param summaries: Summaries in each answer.

    >>> round_interval_s(exchanges=1, summaries=1)
    0.1
    >>> round_interval_s(exchanges=5, summaries=1)
    0.34
    """
    bytes_per_round = exchanges * (2 * MESSAGE_BYTES + (1 + summaries) * SUMMARY_BYTES)
    return max(MIN_INTERVAL_S, bytes_per_round / LOAD_BUDGET_BYTES_PER_S)
