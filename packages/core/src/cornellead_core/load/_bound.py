"""The bound on the load of one engine as a multiple of the mean."""

from __future__ import annotations

import math

DEFAULT_BOUND = 1.25
DEFAULT_MARGIN = 0.92
"""Share of the bound used for ordinary admissions; covers a mean that is 0.1 s old."""
BATCH_SHARE = 0.8
"""Share of the limit open to batch requests."""


def admission_limit(*, multiple: float, capacity: float, rho: float) -> int:
    """Return how many requests an engine may hold, rounded up, at least one.

    :param multiple: Bound, with any margin already applied.
    :param capacity: Capacity weight of the engine.
    :param rho: Mean load per unit of capacity.

    >>> admission_limit(multiple=1.25, capacity=1.0, rho=8.0)
    10
    >>> admission_limit(multiple=1.25, capacity=1.0, rho=0.1)
    1
    """
    # Subtracts a rounding allowance so that 1.25 * 8 in floating point does not round up to 11.
    return max(1, math.ceil(multiple * capacity * rho - 1e-9))
