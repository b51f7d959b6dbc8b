"""Connection that is opened for a check and carries no request."""

from __future__ import annotations

import asyncio
import socket


class ProbeConnection(asyncio.Protocol):
    """Notices whether the peer closes the connection; it is closed with the check."""

    def __init__(self) -> None:
        self._transport: asyncio.Transport | None = None
        self._used = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport; called by asyncio."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        """Close the connection: nothing was asked; called by asyncio."""
        del data
        self.release()

    def eof_received(self) -> None:
        """Record that the peer has closed; called by asyncio, which closes the transport."""
        self._used = True

    def connection_lost(self, exc: Exception | None) -> None:
        """Record that the connection has ended; called by asyncio."""
        del exc
        self._used = True

    def is_open(self) -> bool:
        """Return whether the peer has neither closed the connection nor sent anything."""
        return not self._used

    def release(self) -> None:
        """Close the connection."""
        self._used = True
        if self._transport is not None:
            self._transport.abort()


async def open_probe(host: str, port: int) -> ProbeConnection:
    """Open a connection to the first address of a host that accepts one.

    :param host: Numeric address or name.
    :raises ConnectionRefusedError: All addresses refuse.
    :raises OSError: The name is unknown, or an address cannot be reached.
    """
    loop = asyncio.get_running_loop()
    infos = await loop.getaddrinfo(host, port, type=socket.SOCK_STREAM)
    failures: list[OSError] = []
    for *_, address in infos:
        try:
            _, probe = await loop.create_connection(ProbeConnection, str(address[0]), port)
        except OSError as exc:
            failures.append(exc)
        else:
            return probe
    failures.sort(key=lambda exc: isinstance(exc, ConnectionRefusedError))
    raise failures[0]
