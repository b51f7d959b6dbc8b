"""Bounds on the connections of one listener."""

from __future__ import annotations

from typing import NamedTuple

from cornellead_core.pacing import UNREAD_TIMEOUT_S

DEFAULT_MAX_CONNECTIONS = 512
"""Half of the usual descriptor limit of a process."""
ADDRESS_SHARE = 0.9
"""Default part of the connections for one address. All callers of a data centre may come from one:
on the smallest hosts it leaves 200 callers four connections each."""


class ConnectionBounds(NamedTuple):
    """Bounds on the connections of one listener."""

    total: int = DEFAULT_MAX_CONNECTIONS
    per_address: int = int(ADDRESS_SHARE * DEFAULT_MAX_CONNECTIONS)
    unread_timeout_s: float = UNREAD_TIMEOUT_S
    """Time without a byte being read by the caller after which it is closed."""


def make_bounds(
    total: int, *, per_address: int = 0, unread_timeout_s: float = UNREAD_TIMEOUT_S
) -> ConnectionBounds:
    """Return bounds with a default for the connections of an address.

    :param per_address: 0 for the default.

    >>> make_bounds(100).per_address, make_bounds(1).per_address
    (90, 1)
    """
    per_address = per_address or int(ADDRESS_SHARE * total)
    return ConnectionBounds(max(1, total), max(1, per_address), unread_timeout_s)
