"""Status codes of HTTP responses."""

from __future__ import annotations

from typing import Final

FIRST_FINAL_STATUS: Final = 200
LAST_FINAL_STATUS: Final = 599
INTERIM_STATUSES: Final = frozenset({100, 102, 103})
"""Interim responses that a server may send unasked. 101 changes the protocol, which is never
requested."""


def is_interim_status(status: int) -> bool:
    """Return whether another response to the same request follows.

    :raises ValueError: The status is neither a known interim one nor one from 200 to 599. What
        follows cannot be relied on, so the response must not reach a caller.

    >>> is_interim_status(103), is_interim_status(599)
    (True, False)
    """
    if status in INTERIM_STATUSES:
        return True
    if FIRST_FINAL_STATUS <= status <= LAST_FINAL_STATUS:
        return False
    raise ValueError(f"{status} is not a valid status")
