"""Place in the history of a topic of the store."""

from __future__ import annotations

from typing import NamedTuple

UNKNOWN_ERA = -1
"""Era of a store, or of a router of an earlier build, that names none."""

MAX_ERA_DIGITS = 18
"""Maximum number of digits of an era, which keeps it below 2**63."""


def parse_era(text: str) -> int:
    """Return the era that a header names; `UNKNOWN_ERA` if it names none that is plausible.

    >>> parse_era("7"), parse_era("-7"), parse_era("7" * 30)
    (7, -1, -1)
    """
    plausible = text.isascii() and text.isdecimal() and len(text) <= MAX_ERA_DIGITS
    return int(text) if plausible else UNKNOWN_ERA


def are_different(era: int, other: int) -> bool:
    """Return whether two eras are known to be different histories."""
    return UNKNOWN_ERA not in (era, other) and era != other


class Position(NamedTuple):
    """Offset at which to continue reading, and the history that it belongs to.

    A store that comes back from an older copy gives out the offsets after the copy again, for other
    records.

    >>> Position(4, era=1).continues_in(2)
    False
    """

    offset: int
    era: int = UNKNOWN_ERA
    """Number of the history, which rises each time the store comes back from a copy."""

    def continues_in(self, era: int) -> bool:
        """Return whether records of an era are the ones after this position.

        An unknown era is taken for the one of the position: a store that names none keeps its
        history.
        """
        return era in (UNKNOWN_ERA, self.era)
