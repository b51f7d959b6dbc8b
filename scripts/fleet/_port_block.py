"""TCP ports reserved for one fleet, so that concurrent runs on a host don't collide."""

from __future__ import annotations

import os
import random
import socket

PORT_RANGE_VARIABLE = "CORNELLEAD_PORTS"
DEFAULT_PORT_RANGE = "20000-29999"
"""Below the default ephemeral port range of Linux, which outgoing connections use."""
PORTS_PER_BLOCK = 100


class PortBlock:
    """A block of consecutive ports, reserved by keeping its first port bound.

    Blocks are searched in random order in the range that the environment variable
    ``CORNELLEAD_PORTS`` sets as ``first-last``.

    :raises RuntimeError: when no block is free.
    """

    def __init__(self, *, ip: str = "127.0.0.1") -> None:
        self._ip = ip
        first, _, last = os.environ.get(PORT_RANGE_VARIABLE, DEFAULT_PORT_RANGE).partition("-")
        first_ports = list(range(int(first), int(last) - PORTS_PER_BLOCK + 2, PORTS_PER_BLOCK))
        random.shuffle(first_ports)
        for first_port in first_ports:
            lock = _try_bind(ip, first_port)
            if lock is not None:
                self._lock_socket = lock
                self._next_port, self._end_port = first_port + 1, first_port + PORTS_PER_BLOCK
                return
        raise RuntimeError(
            f"no free block of ports in {first}-{last}; set {PORT_RANGE_VARIABLE} to another range"
        )

    def allocate(self) -> str:
        """Return the ``ip:port`` of the next free port in the block; a port is returned once.

        :raises RuntimeError: when the block is exhausted.
        """
        while self._next_port < self._end_port:
            port, self._next_port = self._next_port, self._next_port + 1
            sock = _try_bind(self._ip, port)
            if sock is not None:
                sock.close()
                return f"{self._ip}:{port}"
        raise RuntimeError(f"all {PORTS_PER_BLOCK} ports of the block are used; plan fewer hosts")

    def release(self) -> None:
        """Unbind the first port, so that other runs can reserve the block."""
        self._lock_socket.close()


def _try_bind(ip: str, port: int) -> socket.socket | None:
    sock = socket.socket()
    # Ports of a fleet that just stopped are in TIME_WAIT for a minute; this option reuses them.
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    try:
        sock.bind((ip, port))
        sock.listen(1)
    except OSError:
        sock.close()
        return None
    return sock
