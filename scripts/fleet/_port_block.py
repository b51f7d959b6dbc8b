"""Free TCP ports that no other test run takes."""

from __future__ import annotations

import os
import random
import socket

RANGE_VARIABLE = "CORNELLEAD_PORTS"
DEFAULT_RANGE = "20000-29999"
"""Below the ports that Linux gives to outgoing connections."""
BLOCK_PORTS = 100


class PortBlock:
    """A block of ports; its first port stays bound as a lock against other runs.

    The range can be set in the environment variable ``CORNELLEAD_PORTS`` as ``first-last``.

    :raises RuntimeError: when no block is free.
    """

    def __init__(self, *, ip: str = "127.0.0.1") -> None:
        self._ip = ip
        first, _, last = os.environ.get(RANGE_VARIABLE, DEFAULT_RANGE).partition("-")
        starts = list(range(int(first), int(last) - BLOCK_PORTS + 2, BLOCK_PORTS))
        random.shuffle(starts)
        for start in starts:
            lock = _bind(ip, start)
            if lock is not None:
                self._lock = lock
                self._next, self._end = start + 1, start + BLOCK_PORTS
                return
        raise RuntimeError(f"no free ports in {first}-{last}; set {RANGE_VARIABLE}")

    def take(self) -> str:
        """Return the ``ip:port`` of a free port.

        :raises RuntimeError: when the block is used up.
        """
        while self._next < self._end:
            port, self._next = self._next, self._next + 1
            sock = _bind(self._ip, port)
            if sock is not None:
                sock.close()
                return f"{self._ip}:{port}"
        raise RuntimeError(f"a block has {BLOCK_PORTS} ports; plan a smaller fleet")

    def release(self) -> None:
        """Give the block back."""
        self._lock.close()


def _bind(ip: str, port: int) -> socket.socket | None:
    sock = socket.socket()
    # Without this, ports of a fleet that just stopped count as taken for a minute.
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    try:
        sock.bind((ip, port))
        sock.listen(1)
    except OSError:
        sock.close()
        return None
    return sock
