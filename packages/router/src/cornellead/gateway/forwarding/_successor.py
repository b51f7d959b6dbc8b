"""Server that takes a request over from one that has stalled."""

from __future__ import annotations

from typing import NamedTuple

from cornellead.gateway.view import ServerState
from cornellead.upstream import Connection


class Successor(NamedTuple):
    """A server, and the connection that was opened for the request; no other request gets it."""

    state: ServerState
    connection: Connection
