"""Acceptance of connections on a listening socket."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import asyncio

ACCEPTS_PER_TURN = 16
"""Connections that are accepted in one turn of the event loop, to be passed to asyncio as the
backlog: those above a bound are closed in the next turn only, and need descriptors until then."""


def lengthen_accept_queue(server: asyncio.Server, length: int) -> None:
    """Let more connections wait than are accepted in a turn.

    asyncio uses one number for the queue of the kernel and for what it accepts in a turn.

    :param length: Connections that wait; the SYN of others is dropped and retried after 1 s.
    """
    for listening in server.sockets:
        with listening.dup() as sock:
            sock.listen(length)
