"""Numbers of log offsets that keep rising when the log comes back from an older copy."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cornellead_core.routing import UNKNOWN_ERA

if TYPE_CHECKING:
    from cornellead_core.platform import LogPage

_OFFSET_BITS = 40
MAX_ERA = 1 << 21
"""Latest era whose numbers fit into a message."""


def first_number(era: int) -> int:
    """Return the number of offset 0 in an era of the log.

    The first era and a log that names none have the offsets themselves.

    >>> first_number(0), first_number(1) > 1_000_000_000_000
    (0, True)
    """
    return max(0, era) << _OFFSET_BITS


def era_of(number: int) -> int:
    """Return the era of a number, which may be the one before the first.

    >>> era_of(-1), era_of(12), era_of(first_number(1) - 1), era_of(first_number(1) + 12)
    (0, 0, 1, 1)
    """
    return (number + 1) >> _OFFSET_BITS


def number_page(page: LogPage, *, era: int) -> LogPage:
    """Return a page with numbers for offsets.

    :param era: Era that is assumed if the log names none.
    """
    era = era if page.era == UNKNOWN_ERA else page.era
    first = first_number(era)
    return page._replace(
        records=[record._replace(offset=first + record.offset) for record in page.records],
        next_offset=first + page.next_offset,
        oldest_offset=first + page.oldest_offset,
        end_offset=first + page.end_offset,
        era=era,
    )
