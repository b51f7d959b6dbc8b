"""A prompt part whose requests are refused, and for how long."""

from __future__ import annotations

from typing import NamedTuple

QUARANTINE_S = 600.0
"""Duration of the first quarantine; each further one lasts twice as long."""
MAX_QUARANTINE_S = 86_400.0
MAX_DOUBLINGS = 8


class QuarantinedPart(NamedTuple):
    """A part that crashed several servers.

    After its quarantine it is on probation for the same time: requests are let through one at a
    time, and a single crash quarantines it again.

    >>> held = QuarantinedPart("48720f", strikes=2, crashes=4, since=0.0)
    >>> held.until, held.forgotten_at
    (1200.0, 2400.0)
    """

    part: str
    strikes: int
    """Number of quarantines of the part, this one included."""
    crashes: int
    """Crashes that led to this quarantine and to the earlier ones."""
    since: float
    """Time of the latest crash, in seconds."""

    @property
    def until(self) -> float:
        """Time at which the quarantine ends."""
        return self.since + self._duration_s

    @property
    def forgotten_at(self) -> float:
        """Time at which the probation ends."""
        return self.since + 2 * self._duration_s

    @property
    def _duration_s(self) -> float:
        doublings = min(MAX_DOUBLINGS, max(0, self.strikes - 1))
        return min(MAX_QUARANTINE_S, QUARANTINE_S * 2.0**doublings)
