"""Round interval of the load exchange within its byte budget."""

from __future__ import annotations

MIN_INTERVAL_S = 0.1
LOAD_BUDGET_BYTES_PER_S = 1800.0
"""Part of a process's control traffic budget of 3 KB/s; configuration uses the rest."""
MESH_EXCHANGE_BYTES = 112
"""Size of a request and reply that carry one server's summary each, with MAC and framing."""
REPORT_EXCHANGE_BYTES = 184
"""Size of a report and its reply with two summaries. A test checks both sizes with the codec."""


def round_interval_s(*, exchanges: int, exchange_bytes: int) -> float:
    """Return the time between rounds in seconds.

    :param exchanges: Exchanges per round in which a process takes part, on either side.
    :param exchange_bytes: Size of an exchange in both directions.

    >>> round_interval_s(exchanges=1, exchange_bytes=MESH_EXCHANGE_BYTES)
    0.1
    >>> round(round_interval_s(exchanges=5, exchange_bytes=MESH_EXCHANGE_BYTES), 3)
    0.311
    """
    return max(MIN_INTERVAL_S, exchanges * exchange_bytes / LOAD_BUDGET_BYTES_PER_S)
