"""Interval of the exchange within the byte budget."""

from __future__ import annotations

MIN_INTERVAL_S = 0.1
LOAD_BUDGET_BYTES_PER_S = 2000.0
"""Part of the 3 KB/s for control that load may use; configuration uses the rest."""
EXCHANGE_BYTES = 104
"""Bytes of a request and an answer with one summary each, with MAC and framing."""


def round_interval_s(*, exchanges: int) -> float:
    """Return the time between rounds in seconds.

    :param exchanges: Exchanges of a round in which this process takes part, on either side.

    >>> round_interval_s(exchanges=1)
    0.1
    >>> round_interval_s(exchanges=5)
    0.26
    """
    return max(MIN_INTERVAL_S, exchanges * EXCHANGE_BYTES / LOAD_BUDGET_BYTES_PER_S)
