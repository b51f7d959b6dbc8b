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
from cornellead_core.wire._control_connection import MAX_MESSAGE_BYTES

if TYPE_CHECKING:
    from cornellead_core.auth import FleetKey
    from cornellead_core.wire._messages import Message
    from cornellead_core.wire._traffic import Traffic

MAX_CONNECTIONS = 64
"""Connections kept open; the least recently used one is closed when there are more."""
REQUEST_TIMEOUT_MS = 500


class ControlClient:
    """Sends control messages to peers over pooled connections and waits for the replies."""

    def __init__(self, *, key: FleetKey, traffic: Traffic) -> None:
        self._key = key
        self._traffic = traffic
        self._conns: OrderedDict[str, _Connection] = OrderedDict()

    async def request(self, address: str, message: Message) -> Result[Message, str]:
        """Send a message and return the reply.

        A failure, including a timeout, closes the connection; the next request reconnects.

        :param address: ``ip:port`` of the peer's control listener.
        """
        signed = encode_message(message, key=self._key)
        conn = self._connect(address)
        conn.requests += 1
        try:
            with conn.sock.new_context() as ctx:
                self._traffic.count_sent(signed)
                await ctx.asend(signed)
                reply = await ctx.arecv()
        except pynng.NNGException as exc:
            self._close(address, conn)
            raise_if_cancelled()
            return Failure(f"control request to {address} failed: {exc}")
        finally:
            conn.requests -= 1
            conn.close_if_unused()
        raise_if_cancelled()
        self._traffic.count_received(reply)
        return decode_message(reply, key=self._key)

    def close(self) -> None:
        """Close all connections, each once the requests on it have ended."""
        for address, conn in list(self._conns.items()):
            self._close(address, conn)

    def _connect(self, address: str) -> _Connection:
        conn = self._conns.get(address)
        if conn is None:
            conn = self._conns[address] = _Connection(address)
        self._conns.move_to_end(address)
        while len(self._conns) > MAX_CONNECTIONS:
            self._close(*next(iter(self._conns.items())))
        return conn

    def _close(self, address: str, conn: _Connection) -> None:
        # Another request may have replaced the connection since.
        if self._conns.get(address) is conn:
            del self._conns[address]
        conn.closing = True
        conn.close_if_unused()


class _Connection:
    """A socket that several requests use, and that closes behind the last of them.

    The library aborts the process if a socket closes while another request opens a context on it or
    waits for the reply.
    """

    def __init__(self, address: str) -> None:
        self.sock = pynng.Req0(
            send_timeout=REQUEST_TIMEOUT_MS,
            recv_timeout=REQUEST_TIMEOUT_MS,
            recv_max_size=MAX_MESSAGE_BYTES,
            # Disables the retransmission of requests that Req0 does by default.
            resend_time=-1,
        )
        self.sock.dial(f"tcp://{address}", block=False)
        self.requests = 0
        self.closing = False

    def close_if_unused(self) -> None:
        """Close the socket if it has to close and no request uses it."""
        if self.closing and not self.requests:
            self.sock.close()
