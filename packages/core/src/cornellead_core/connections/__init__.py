"""Bounds on the open connections of callers."""

from __future__ import annotations

from cornellead_core.connections._accept_queue import ACCEPTS_PER_TURN
from cornellead_core.connections._accept_queue import lengthen_accept_queue
from cornellead_core.connections._connection_bounds import DEFAULT_MAX_CONNECTIONS
from cornellead_core.connections._connection_bounds import ConnectionBounds
from cornellead_core.connections._connection_bounds import make_bounds
from cornellead_core.connections._open_connections import BoundedConnection
from cornellead_core.connections._open_connections import OpenConnections

__all__ = [
    "ACCEPTS_PER_TURN",
    "DEFAULT_MAX_CONNECTIONS",
    "BoundedConnection",
    "ConnectionBounds",
    "OpenConnections",
    "lengthen_accept_queue",
    "make_bounds",
]
