"""Listening socket that a gateway opens before it imports most of its modules.

Callers that connect during the start wait in the accept queue; otherwise they would be reset.
"""

from __future__ import annotations

import socket

BACKLOG = 1024
"""Length of the accept queue; when it is full, a caller's SYN is dropped and retried after 1 s."""


def open_listening_socket(address: str) -> socket.socket:
    """Listen on an address; connections queue until an event loop accepts them.

    :param address: ``ip:port``.
    :raises OSError: The address cannot be used.
    """
    host, _, port = address.rpartition(":")
    sock = socket.create_server((host, int(port)), backlog=BACKLOG)
    sock.setblocking(False)
    return sock
