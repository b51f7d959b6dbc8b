"""Listener for control requests of peers."""

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

CONTEXTS = 4
"""Requests served at the same time; handlers do not wait for the network."""
MAX_MESSAGE_BYTES = 8 << 20


class ControlServer:
    """Serves control messages; a controller of the process.

    :param address: ``ip:port`` to listen on.
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
                for _ in range(CONTEXTS):
                    group.create_task(self._serve(sock))

    async def _serve(self, sock: pynng.Rep0) -> None:
        with sock.new_context() as ctx:
            while True:
                try:
                    await self._serve_one(ctx)
                except pynng.NNGException:
                    self._traffic.messages_rejected += 1
                    await asyncio.sleep(0)
                raise_if_cancelled()

    async def _serve_one(self, ctx: pynng.Context) -> None:
        request = await ctx.arecv()
        self._traffic.count_received(request)
        decoded = decode_message(request, key=self._key)
        if not isinstance(decoded, Success):
            # No answer: a peer without the key learns nothing and its request times out.
            self._traffic.messages_rejected += 1
            return
        reply = encode_message(await self._handler(decoded.unwrap()), key=self._key)
        # Counted first, so that a peer that has the answer finds it in the counters.
        self._traffic.count_sent(reply)
        await ctx.asend(reply)
