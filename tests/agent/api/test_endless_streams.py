"""Many streams of an engine that sends events without end, at one agent."""

from __future__ import annotations

import asyncio
import tracemalloc

from tests.agent.harness import Harness
from tests.router.gateway.scripted_server import ScriptedExchange
from tests.router.gateway.scripted_server import ScriptedServer
from tests.router.gateway.scripted_server import encode_chunk

STREAMS = 64
EVENTS = 50
MAX_MEMORY_BYTES = 64 << 20
"""Memory that one process may use for control."""
LONG_EVENT = b"a" * 60_000


async def _send_out_of_order(exchange: ScriptedExchange) -> None:
    """Send all events but the first one, and leave the connection open."""
    if exchange.head.startswith(b"DELETE"):
        await exchange.send(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
        return
    await exchange.send(exchange.stream_head())
    for number in range(2, EVENTS):
        event = b"id: %d\ndata: %b\n\n" % (number, LONG_EVENT)
        await exchange.send(encode_chunk(event))
    await exchange.disconnected.wait()


async def test_events_out_of_order_of_many_streams_are_bounded_together() -> None:
    """Guards against an agent that runs out of memory as its engine skips events (issue 35)."""
    server = ScriptedServer(_send_out_of_order)
    await server.start()
    port = int(server.address.rpartition(":")[2])
    agents = [Harness(port=port) for _ in range(STREAMS)]
    for agent in agents:
        # One agent with room for all streams: the harness admits two.
        agent.upstream._client = agents[0].client
    tracemalloc.start()
    try:
        requests = [asyncio.create_task(agent.send_request()) for agent in agents]
        await asyncio.sleep(5.0)
        peak_bytes = tracemalloc.get_traced_memory()[1]
    finally:
        tracemalloc.stop()
        for agent in agents:
            agent.disconnected.set()
        await asyncio.wait_for(asyncio.gather(*requests), 30.0)
        server.stop()
    assert peak_bytes < MAX_MEMORY_BYTES
    assert all(b": end" not in agent.content for agent in agents)
