"""Listening socket that is open before the rest of a process is loaded."""

from __future__ import annotations

import socket

BACKLOG = 1024
"""Connections that wait to be accepted: a full queue costs callers a second."""


def open_listening_socket(address: str) -> socket.socket:
    """Listen on an address; connections wait until a listener takes the socket.

    :param address: ``ip:port``.
    :raises OSError: The address cannot be used.
    """
    host, _, port = address.rpartition(":")
    sock = socket.create_server((host, int(port)), backlog=BACKLOG)
    sock.setblocking(False)
    return sock
