"""Upper bound on the load of one engine, as a multiple of the mean load."""

from __future__ import annotations

import math

DEFAULT_BOUND = 1.25
DEFAULT_MARGIN = 0.92
"""Fraction of the bound available to ordinary admissions; allows for a mean that is 0.1 s old."""
BATCH_SHARE = 0.8
"""Fraction of the limit available to batch requests."""


def admission_limit(*, multiple: float, capacity: float, rho: float) -> int:
    """Return the maximum number of requests in flight on an engine, at least one.

    :param multiple: Multiple of the mean load that is allowed, with any margin already applied.
    :param capacity: Capacity weight of the engine.
    :param rho: Mean load per unit of capacity.

    >>> admission_limit(multiple=1.25, capacity=1.0, rho=8.0)
    10
    >>> admission_limit(multiple=1.25, capacity=1.0, rho=0.1)
    1
    """
    # The tolerance prevents floating-point error from rounding 1.25 * 8 up to 11.
    return max(1, math.ceil(multiple * capacity * rho - 1e-9))
