"""Check whether a process still listens on an address."""

from __future__ import annotations

import asyncio
from enum import StrEnum
from typing import TYPE_CHECKING
from typing import Protocol

from cornellead_core.pacing import ArrivalTimeout

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

CLOSE_PROOF_S = 0.05
"""Time for which a new connection must stay open. The kernel closes the sockets of a killed process
one after the other, its listening socket usually last: connections are accepted until then, and
reset with it. On a busy host this takes some tens of milliseconds."""
CHECK_TIMEOUT_S = 0.25
"""Maximum time of a check, enough for two connections to a server in another data centre."""
MAX_SHARE_OF_TIME_LEFT = 0.5
"""Fraction of a request's remaining time that a check may take, so that a response which arrives
just before the deadline is still passed on."""
MAX_PROBES = 2


class ListenerState(StrEnum):
    """What a check found out about a listening socket."""

    LISTENING = "listening"
    """A connection was accepted and stayed open."""
    CLOSED = "closed"
    """A connection was refused: no process listens on the address."""
    UNKNOWN = "unknown"
    """Connections were not answered in time, or were accepted and closed."""


class Probe(Protocol):
    """A connection that was opened to find out whether a process listens."""

    def is_open(self) -> bool:
        """Return whether the peer has neither closed the connection nor sent anything."""
        ...

    def release(self) -> None:
        """End the use of the connection by the check."""
        ...


async def check_listener(
    connect: Callable[[], Awaitable[Probe]], *, timeout_s: float = CHECK_TIMEOUT_S
) -> ListenerState:
    """Find out whether a process still listens on an address.

    A connection that closes early was accepted by a process that is being ended, or by a server
    that has too many connections, so a second one is opened.

    :param connect: Opens a connection; raises ``ConnectionRefusedError`` if none is accepted, or
        another ``OSError`` or ``TimeoutError``.
    :param timeout_s: Maximum time of the check, in seconds.
    """
    try:
        async with ArrivalTimeout(delay_s=timeout_s):
            for _ in range(MAX_PROBES):
                probe = await connect()
                try:
                    await asyncio.sleep(CLOSE_PROOF_S)
                    if probe.is_open():
                        return ListenerState.LISTENING
                finally:
                    probe.release()
    except ConnectionRefusedError:
        return ListenerState.CLOSED
    except (OSError, TimeoutError):
        return ListenerState.UNKNOWN
    return ListenerState.UNKNOWN
