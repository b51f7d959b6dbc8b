"""Client of the control protocol."""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING

import pynng
from returns.result import Failure
from returns.result import Result

from cornellead_core.wire._cancellation import raise_if_cancelled
from cornellead_core.wire._codec import decode_message
from cornellead_core.wire._codec import encode_message

if TYPE_CHECKING:
    from cornellead_core.auth import FleetKey
    from cornellead_core.wire._messages import Message
    from cornellead_core.wire._traffic import Traffic

MAX_CONNECTIONS = 64
"""Connections kept open; the least recently used one is closed when there are more."""
REQUEST_TIMEOUT_MS = 500
MAX_MESSAGE_BYTES = 8 << 20


class ControlClient:
    """Sends control messages to peers over pooled connections and waits for the replies."""

    def __init__(self, *, key: FleetKey, traffic: Traffic) -> None:
        self._key = key
        self._traffic = traffic
        self._sockets: OrderedDict[str, pynng.Req0] = OrderedDict()

    async def request(self, address: str, message: Message) -> Result[Message, str]:
        """Send a message and return the reply.

        A failure, including a timeout, closes the connection; the next request reconnects.

        :param address: ``ip:port`` of the peer's control listener.
        """
        signed = encode_message(message, key=self._key)
        try:
            with self._socket(address).new_context() as ctx:
                self._traffic.count_sent(signed)
                await ctx.asend(signed)
                reply = await ctx.arecv()
        except pynng.NNGException as exc:
            self._close(address)
            raise_if_cancelled()
            return Failure(f"control request to {address} failed: {exc}")
        raise_if_cancelled()
        self._traffic.count_received(reply)
        return decode_message(reply, key=self._key)

    def close(self) -> None:
        """Close all connections."""
        for address in list(self._sockets):
            self._close(address)

    def _socket(self, address: str) -> pynng.Req0:
        sock = self._sockets.get(address)
        if sock is None:
            sock = pynng.Req0(
                send_timeout=REQUEST_TIMEOUT_MS,
                recv_timeout=REQUEST_TIMEOUT_MS,
                recv_max_size=MAX_MESSAGE_BYTES,
                # Disables the retransmission of requests that Req0 does by default.
                resend_time=-1,
            )
            sock.dial(f"tcp://{address}", block=False)
            self._sockets[address] = sock
        self._sockets.move_to_end(address)
        while len(self._sockets) > MAX_CONNECTIONS:
            self._close(next(iter(self._sockets)))
        return sock

    def _close(self, address: str) -> None:
        sock = self._sockets.pop(address, None)
        if sock is not None:
            sock.close()
