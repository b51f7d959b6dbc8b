"""A TCP proxy on the loopback interface that harms what passes through it."""

from __future__ import annotations

import asyncio
from enum import StrEnum


class Harm(StrEnum):
    """What the proxy does to connections."""

    NONE = "none"
    DELAY = "delay"
    """Holds bytes for a while."""
    RESET = "reset"
    """Breaks connections, old and new."""
    SILENT = "silent"
    """Passes nothing on and closes nothing."""
    ONE_WAY = "one_way"
    """Passes requests on, but no answers."""


DELAY_S = 0.15
POLL_S = 0.02


class FaultProxy:
    """Forwards connections to one address.

    :param address: ``ip:port`` to listen on.
    :param target: ``ip:port`` to connect to.
    """

    def __init__(self, *, address: str, target: str) -> None:
        self.address = address
        self._target = target
        self.harm = Harm.NONE
        self._writers: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen."""
        host, _, port = self.address.rpartition(":")
        self._server = await asyncio.start_server(self._accept, host, int(port))

    def stop(self) -> None:
        """Stop listening and break all connections."""
        if self._server is not None:
            self._server.close()
        self._reset_all()

    def set_harm(self, harm: Harm) -> None:
        """Change what happens to connections from now on."""
        self.harm = harm
        if harm is Harm.RESET:
            self._reset_all()

    def _reset_all(self) -> None:
        for writer in list(self._writers):
            writer.transport.abort()

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self.harm is Harm.RESET:
            writer.transport.abort()
            return
        host, _, port = self._target.rpartition(":")
        try:
            far_reader, far_writer = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.transport.abort()
            return
        self._writers |= {writer, far_writer}
        try:
            await asyncio.gather(
                self._pump(reader, far_writer, answers=False),
                self._pump(far_reader, writer, answers=True),
            )
        except asyncio.CancelledError:
            # The soak is over.
            pass
        finally:
            self._writers -= {writer, far_writer}
            writer.transport.abort()
            far_writer.transport.abort()

    async def _pump(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, *, answers: bool
    ) -> None:
        try:
            while data := await reader.read(1 << 16):
                if self.harm is Harm.DELAY:
                    await asyncio.sleep(DELAY_S)
                while self.harm is Harm.SILENT or (self.harm is Harm.ONE_WAY and answers):
                    await asyncio.sleep(POLL_S)
                writer.write(data)
                await writer.drain()
        except (ConnectionError, OSError):
            writer.transport.abort()
            return
        if not writer.is_closing():
            writer.close()
