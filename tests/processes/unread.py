"""Callers that send requests without end and read no response."""

from __future__ import annotations

import selectors
import socket
import threading
import time
from pathlib import Path
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from types import TracebackType

RECEIVE_BUFFER_BYTES = 4096
SEGMENT_BYTES = 536
"""A small segment keeps the send buffer small that the kernel gives the gateway."""
RECONNECT_S = 0.2


class UnreadCallers:
    """Holds a number of connections, all of them served by one thread of the test.

    :param first: What each connection sends once.
    :param block: What it sends then again and again; empty for callers that only wait.
    :param interval_s: Time between the first connections.
    """

    def __init__(
        self,
        address: str,
        *,
        connections: int,
        first: bytes,
        block: bytes,
        interval_s: float = 0.0,
    ) -> None:
        host, _, port = address.rpartition(":")
        self._address = (host, int(port))
        self._first, self._block = first, block
        self._held: list[socket.socket] = []
        self._selector = selectors.DefaultSelector()
        self._left = threading.Event()
        begin = time.monotonic()
        self._due = [begin + interval_s * number for number in range(connections)]
        self._thread = threading.Thread(target=self._run, daemon=True)
        self.sent_bytes = 0

    def __enter__(self) -> UnreadCallers:
        self._thread.start()
        return self

    def __exit__(
        self, kind: type[BaseException] | None, exc: BaseException | None, tb: TracebackType | None
    ) -> None:
        self._left.set()
        self._thread.join(timeout=5.0)
        for key in list(self._selector.get_map().values()):
            key.fileobj.close()  # type: ignore[union-attr]
        self._selector.close()
        for sock in self._held:
            sock.close()

    def _run(self) -> None:
        while not self._left.is_set():
            now = time.monotonic()
            while self._due and self._due[0] <= now:
                del self._due[0]
                self._connect()
            for key, _ in self._selector.select(0.05):
                self._send(key.fileobj, key.data)  # type: ignore[arg-type]

    def _connect(self) -> None:
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, SEGMENT_BYTES)
        sock.settimeout(1.0)
        try:
            sock.connect(self._address)
        except OSError:
            self._retry(sock)
            return
        sock.setblocking(False)
        self._selector.register(sock, selectors.EVENT_WRITE, bytearray(self._first))

    def _send(self, sock: socket.socket, rest: bytearray) -> None:
        if not rest:
            rest += self._block
        if not rest:
            # The request is whole, and its response stays unread.
            self._selector.unregister(sock)
            self._held.append(sock)
            return
        try:
            size = sock.send(rest)
        except BlockingIOError:
            return
        except OSError:
            self._selector.unregister(sock)
            self._retry(sock)
            return
        self.sent_bytes += size
        del rest[:size]

    def _retry(self, sock: socket.socket) -> None:
        sock.close()
        self._due.append(time.monotonic() + RECONNECT_S)


def read_resident_bytes(pid: int) -> int:
    """Return the resident memory of a process."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) << 10
    raise ProcessLookupError(pid)


def count_descriptors(pid: int) -> int:
    """Return the number of open file descriptors of a process."""
    return sum(1 for _ in Path(f"/proc/{pid}/fd").iterdir())
