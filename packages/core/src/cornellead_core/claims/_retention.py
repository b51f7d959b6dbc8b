"""How long keys are remembered and what that requires of the log."""

from __future__ import annotations

from returns.result import Failure
from returns.result import Result
from returns.result import Success

RETENTION_SHARE = 0.9
"""Largest key validity as a share of the log's retention."""

CLOCK_SHARE = 0.05
"""Allowance for callers' clocks as a share of the validity: three minutes at one hour. Validity and
allowance together stay below 0.945 of the retention, the rest covers slow reads."""


def clock_allowance_s(validity_s: float) -> float:
    """Return by how much a caller's clock may be ahead of the log's, in seconds.

    >>> clock_allowance_s(3600.0)
    180.0
    """
    return validity_s * CLOCK_SHARE


def check_retention(*, validity_s: float, retention_s: float) -> Result[None, str]:
    """Check that the log keeps claims for as long as keys are valid.

    >>> check_retention(validity_s=3600.0, retention_s=4000.0)
    <Success: None>
    """
    longest = retention_s * RETENTION_SHARE
    if validity_s <= longest:
        return Success(None)
    return Failure(
        f"key_validity_s is {validity_s:g} but the log keeps records for {retention_s:g} s;"
        f" set key_validity_s to at most {longest:g} or raise the log's retention"
    )
