"""Agents whose tiny events cost much processor time."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import pytest
from tests.processes.flood import Flood
from tests.processes.flood import repeat
from tests.processes.flood import single_byte_chunks
from tests.turns import MAX_TURN_S
from tests.turns import fill_sockets
from tests.turns import longest_turn_s

from cornellead.relay import EventStreamFilter
from cornellead.relay import StreamRelay
from cornellead.upstream import ConnectionPool

if TYPE_CHECKING:
    from litestar.types import Message

STREAMS = 20
COMMENTS = repeat(b":\n\n")
BLOCKS = {
    "single_byte_chunks": repeat(single_byte_chunks(b":\n\n")),
    "comments": b"%x\r\n%b\r\n" % (len(COMMENTS), COMMENTS),
}
HEAD = b"POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n"


async def _drop(message: Message) -> None:
    del message


@pytest.mark.parametrize("block", BLOCKS.values(), ids=BLOCKS)
async def test_tiny_events_do_not_delay_others(block: bytes) -> None:
    """Guards against streams of an agent that take the event loop of the router (issue 38)."""
    pool = ConnectionPool(loop=asyncio.get_running_loop())
    with Flood() as flood:
        address = flood.serve(block)
        exchanges = [(await pool.send(address, HEAD, b"")).unwrap() for _ in range(STREAMS)]
        for exchange in exchanges:
            assert await exchange.head() is not None
        fill_sockets()
        relays = [
            StreamRelay(send=_drop, stream_filter=EventStreamFilter(request_id="ab"))
            for _ in exchanges
        ]
        tasks = [
            asyncio.create_task(relay.run(exchange))
            for relay, exchange in zip(relays, exchanges, strict=True)
        ]
        longest = await longest_turn_s()
        assert flood.sent_bytes > len(block) * STREAMS
        assert not any(task.done() for task in tasks)
        for exchange in exchanges:
            exchange.abort()
        await asyncio.gather(*tasks)
    assert longest < MAX_TURN_S
