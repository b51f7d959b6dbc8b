"""Server of the control protocol."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING
from typing import TypeAlias

import pynng
from returns.result import Success

from cornellead_core.wire._cancellation import raise_if_cancelled
from cornellead_core.wire._codec import decode_message
from cornellead_core.wire._codec import encode_message

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    from cornellead_core.auth import FleetKey
    from cornellead_core.wire._messages import Message
    from cornellead_core.wire._traffic import Traffic

    Handler: TypeAlias = Callable[[Message], Awaitable[Message]]

MAX_CONCURRENT_REQUESTS = 4
"""Requests handled concurrently; a few suffice because handlers don't wait for the network."""
MAX_MESSAGE_BYTES = 8 << 20


class ControlServer:
    """Controller that listens for control messages and replies to them.

    :param address: ``ip:port`` to listen on.
    :param handler: Returns the reply to a message.
    """

    name = "control-server"

    def __init__(self, *, address: str, key: FleetKey, traffic: Traffic, handler: Handler) -> None:
        self._address = address
        self._key = key
        self._traffic = traffic
        self._handler = handler

    async def run(self) -> None:
        """Listen until cancelled."""
        with pynng.Rep0(recv_max_size=MAX_MESSAGE_BYTES) as sock:
            sock.listen(f"tcp://{self._address}")
            async with asyncio.TaskGroup() as group:
                for _ in range(MAX_CONCURRENT_REQUESTS):
                    group.create_task(self._serve(sock))

    async def _serve(self, sock: pynng.Rep0) -> None:
        with sock.new_context() as ctx:
            while True:
                try:
                    await self._handle_next_request(ctx)
                except pynng.NNGException:
                    self._traffic.messages_rejected += 1
                    await asyncio.sleep(0)
                raise_if_cancelled()

    async def _handle_next_request(self, ctx: pynng.Context) -> None:
        request = await ctx.arecv()
        self._traffic.count_received(request)
        decoded = decode_message(request, key=self._key)
        if not isinstance(decoded, Success):
            # No reply: a peer without the fleet key gets no information, only a timeout.
            self._traffic.messages_rejected += 1
            return
        reply = encode_message(await self._handler(decoded.unwrap()), key=self._key)
        # Counted before sending, so that the counters include every reply that a peer has received.
        self._traffic.count_sent(reply)
        await ctx.asend(reply)
