"""Engines whose tiny pieces cost much processor time."""

from __future__ import annotations

import asyncio

import pytest
from tests.processes.flood import Flood
from tests.processes.flood import repeat
from tests.processes.flood import single_byte_chunks
from tests.turns import MAX_TURN_S
from tests.turns import fill_sockets
from tests.turns import longest_turn_s

from cornellead_agent.relay import EngineClient
from cornellead_agent.relay import EngineConnection
from cornellead_agent.relay import EventAssembler

STREAMS = 20
COMMENTS = repeat(b":\n\n")
BLOCKS = {
    "single_byte_chunks": repeat(single_byte_chunks(b": a\n\n")),
    "comments": b"%x\r\n%b\r\n" % (len(COMMENTS), COMMENTS),
}


async def _assemble(conn: EngineConnection) -> None:
    assembler = EventAssembler(delivered=0)
    while data := await conn.read():
        assembler.feed(data)
        conn.hold(assembler.buffered_bytes)


@pytest.mark.parametrize("block", BLOCKS.values(), ids=BLOCKS)
async def test_tiny_pieces_of_streams_do_not_delay_others(block: bytes) -> None:
    """Guards against streams of an engine that take the event loop of the agent (issue 38)."""
    with Flood() as flood:
        client = EngineClient(url=f"http://{flood.serve(block)}")
        opened = [await client.open("POST", "/v1/chat/completions") for _ in range(STREAMS)]
        conns = [result.unwrap() for result in opened]
        readers = [asyncio.create_task(_assemble(conn)) for conn in conns]
        fill_sockets()
        longest = await longest_turn_s()
        assert flood.sent_bytes > len(block) * STREAMS
        assert not any(reader.done() for reader in readers)
        for conn in conns:
            client.release(conn)
        await asyncio.gather(*readers)
    assert longest < MAX_TURN_S
