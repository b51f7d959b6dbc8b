"""Model of which incarnations of a server an entry may bring back."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence


def is_superseded(starts: Sequence[int], start: int) -> bool:
    """Return whether a later start was listed after the last time that this one was.

    :param starts: Starts of the server in the order in which they were listed.

    >>> is_superseded([1, 2], 1), is_superseded([2, 1], 1), is_superseded([2], 1)
    (True, False, False)
    """
    if start not in starts:
        return False
    last = len(starts) - 1 - list(reversed(starts)).index(start)
    return max(starts[last:]) > start
