"""Server side of a connection of the control protocol."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING
from typing import ClassVar

import structlog

from cornellead_core.buffers import UNKNOWN_OWNER
from cornellead_core.buffers import BufferOwner
from cornellead_core.pacing import UNREAD_TIMEOUT_S
from cornellead_core.pacing import ArrivalTimer
from cornellead_core.pacing import PacedProtocol
from cornellead_core.pacing import UnreadWatch
from cornellead_core.wire._byte_queue import ByteQueue

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    from cornellead_core.buffers import BufferBudget
    from cornellead_core.connections import OpenConnections
    from cornellead_core.pacing import ReadPacer

PEER_GREETING = b"\0SP\0\0\x30\0\0"
"""What a requester sends first (mapping of the SP protocols to TCP, version 0)."""
GREETING = b"\0SP\0\0\x31\0\0"
"""What a replier sends first."""
LENGTH_BYTES = 8
MAX_MESSAGE_BYTES = 8 << 20
ID_BYTES = 4
LAST_ID_BIT = 0x80
"""Set in the first byte of the request id, which may follow those of intermediaries."""
MAX_REQUESTS = 4
"""Requests of a connection that are handled at once; nothing more is read meanwhile."""
MESSAGE_TIMEOUT_S = 10.0
"""Time in which a message, or the greeting, has to arrive: peers give up after 0.5 s."""


class ControlConnection(PacedProtocol):
    """Reads requests, and writes their replies in the order in which they are ready.

    :param conns: The open connections of the listener.
    :param budget: Bounds what the process holds of unfinished messages.
    :param handle: Returns the reply to a request; ``None`` if it gets none.
    :param on_failed: Called with the exception of a handler, which ends the listener.
    """

    closes_with_peer: ClassVar[bool] = True

    def __init__(
        self,
        *,
        pacer: ReadPacer,
        conns: OpenConnections[ControlConnection],
        budget: BufferBudget,
        handle: Callable[[bytes], Awaitable[bytes | None]],
        on_failed: Callable[[BaseException], None],
    ) -> None:
        super().__init__(pacer=pacer)
        self._conns = conns
        self._budget = budget
        self._handle = handle
        self._on_failed = on_failed
        self._owner = UNKNOWN_OWNER
        self._input = ByteQueue()
        self._greeted = False
        self._message_bytes: int | None = None
        """Size of the message that is being read, once it is known."""
        self._tasks: set[asyncio.Task[None]] = set()
        self._timer: ArrivalTimer | None = None
        self._watch: UnreadWatch | None = None
        self.unread = False
        """Whether the peer leaves more unread than the high-water mark."""
        self.closing = False
        """Whether the connection is being closed."""

    @property
    def address(self) -> str:
        """Address of the peer, empty until it is known."""
        return self._owner.server

    @property
    def idle(self) -> bool:
        """Whether no request is in progress or partly received."""
        return not self._tasks and self._between_messages

    @property
    def settled(self) -> bool:
        """Whether closing the connection would cut off neither a request nor a reply."""
        return self.idle and not self.unsent

    @property
    def unsent(self) -> bool:
        """Whether anything waits for the peer to read."""
        return self.unwritten_bytes() > 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Greet the peer; called by asyncio."""
        super().connection_made(transport)
        assert self._transport is not None
        if self.closing:
            self._transport.abort()
            return
        peer = self._transport.get_extra_info("peername")
        if peer:
            self._owner = BufferOwner(server=str(peer[0]))
        self._conns.count_address(self)
        if not self.closing:
            self._transport.write(GREETING)
            self._start_timer()

    def connection_lost(self, exc: Exception | None) -> None:
        """Give up the requests in progress; called by asyncio."""
        super().connection_lost(exc)
        self.closing = True
        self._stop_timer()
        if self._watch is not None:
            self._watch.stop()
            # Breaks the reference cycle between the watch and this object.
            self._watch = None
        for task in self._tasks:
            task.cancel()
        self._budget.record(self, 0, owner=self._owner)
        self._conns.remove(self)

    def consume(self, data: memoryview) -> None:
        """Read the greeting and messages."""
        if self.closing:
            return
        self._input.append(bytes(data))
        self._read_messages()

    def pause_writing(self) -> None:
        """Read no further request while replies are unread; called by asyncio."""
        self.unread = True
        self.pause_reading()
        if self._watch is None:
            self._watch = UnreadWatch(
                timeout_s=UNREAD_TIMEOUT_S,
                read_size=self.unwritten_bytes,
                on_check=lambda: None,
                on_stalled=self.abort,
            )
        self._watch.start()

    def resume_writing(self) -> None:
        """Read on; called by asyncio."""
        self.unread = False
        if self._watch is not None:
            self._watch.record_progress()
        self._read_on()

    def close_idle(self) -> None:
        """Close the connection if no request is in progress or partly received."""
        if self.idle and self._transport is not None:
            self.closing = True
            self._transport.close()

    def abort(self) -> None:
        """Reset the connection."""
        self.closing = True
        self._input.clear()
        if self._transport is not None:
            self._transport.abort()

    def drop_buffer(self) -> None:
        """Give up an unfinished message; called by the budget."""
        structlog.get_logger().warning(
            "unfinished control messages hold too much", address=self.address
        )
        self.abort()

    @property
    def _between_messages(self) -> bool:
        return self._message_bytes is None and not len(self._input)

    def _read_messages(self) -> None:
        while not self.closing and len(self._tasks) < MAX_REQUESTS:
            message = self._next_message()
            if message is None:
                break
            task = asyncio.get_running_loop().create_task(self._serve(message))
            self._tasks.add(task)
            task.add_done_callback(self._on_served)
        if self.closing:
            return
        if len(self._tasks) >= MAX_REQUESTS:
            self.pause_reading()
        if self._greeted and self._between_messages:
            self._stop_timer()
        elif self._timer is None:
            self._start_timer()
        self._budget.record(self, len(self._input), owner=self._owner)

    def _next_message(self) -> bytes | None:
        """Take the next whole message from the input; resets a connection of another protocol."""
        if not self._greeted:
            greeting = self._input.take(len(PEER_GREETING))
            if greeting is None:
                return None
            if greeting != PEER_GREETING:
                self.abort()
                return None
            self._greeted = True
            self._stop_timer()
        if self._message_bytes is None:
            length = self._input.take(LENGTH_BYTES)
            if length is None:
                return None
            self._message_bytes = int.from_bytes(length, "big")
        if self._message_bytes > MAX_MESSAGE_BYTES:
            self.abort()
            return None
        message = self._input.take(self._message_bytes)
        if message is not None:
            self._message_bytes = None
            self._stop_timer()
        return message

    async def _serve(self, message: bytes) -> None:
        ids_end = _find_end_of_ids(message)
        if ids_end is None:
            return
        reply = await self._handle(message[ids_end:])
        if reply is None or self.closing or self._transport is None:
            return
        content = message[:ids_end] + reply
        self._transport.write(len(content).to_bytes(LENGTH_BYTES, "big") + content)

    def _on_served(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and (exc := task.exception()) is not None:
            self._on_failed(exc)
        elif not self.closing:
            self._read_on()

    def _read_on(self) -> None:
        if self.unread or self.closing:
            return
        self.resume_reading()
        self._read_messages()

    def _start_timer(self) -> None:
        loop = asyncio.get_running_loop()
        self._timer = ArrivalTimer(loop=loop, delay_s=MESSAGE_TIMEOUT_S, action=self.abort)

    def _stop_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None


def _find_end_of_ids(message: bytes) -> int | None:
    """Return where the ids in front of a request end; ``None`` if they do not."""
    for start in range(0, len(message) - ID_BYTES + 1, ID_BYTES):
        if message[start] & LAST_ID_BIT:
            return start + ID_BYTES
    return None
