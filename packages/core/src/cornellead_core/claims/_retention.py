"""Retention of idempotency keys and the log retention that it requires."""

from __future__ import annotations

from returns.result import Failure
from returns.result import Result
from returns.result import Success

MAX_VALIDITY_FRACTION = 0.9
"""Maximum key validity as a fraction of the log's retention."""

CLOCK_ALLOWANCE_FRACTION = 0.05
"""Allowance for clock skew of callers as a fraction of the validity: 3 minutes for 1 hour.

Validity and allowance together amount to at most 0.945 of the retention. The remainder allows for
slow reads.
"""


def clock_allowance_s(validity_s: float) -> float:
    """Return how far a caller's clock may be ahead of the log's clock, in seconds.

    >>> clock_allowance_s(3600.0)
    180.0
    """
    return validity_s * CLOCK_ALLOWANCE_FRACTION


def check_retention(*, validity_s: float, retention_s: float) -> Result[None, str]:
    """Check that the log retains claims for longer than keys are valid.

    >>> check_retention(validity_s=3600.0, retention_s=4000.0)
    <Success: None>
    """
    max_validity_s = retention_s * MAX_VALIDITY_FRACTION
    if validity_s <= max_validity_s:
        return Success(None)
    return Failure(
        f"key_validity_s is {validity_s:g} but the log keeps records for {retention_s:g} s;"
        f" set key_validity_s to at most {max_validity_s:g} or raise the log's retention"
    )
