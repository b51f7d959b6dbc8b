"""Services whose tiny pieces cost much processor time."""

from __future__ import annotations

import asyncio

import httpx
from tests.processes.flood import Flood
from tests.processes.flood import repeat
from tests.processes.flood import single_byte_chunks
from tests.turns import MAX_TURN_S
from tests.turns import fill_sockets
from tests.turns import longest_turn_s

from cornellead_agent.services import ServiceRequest
from cornellead_agent.services._server_client import ServerClient

CALLS = 20
DEADLINE_S = 60.0
BLOCK = repeat(single_byte_chunks(b"a"))
REQUEST = ServiceRequest(
    operation="look",
    team="a",
    key=None,
    key_time_s=None,
    body=b"{}",
    content_type="application/json",
    deadline_s=DEADLINE_S,
    request_id="r1",
    at_most_once=False,
)


async def test_answers_in_tiny_pieces_do_not_delay_others() -> None:
    """Guards against answers of a service that take the event loop of the agent (issue 38)."""
    with Flood() as flood:
        address = flood.serve(BLOCK)
        async with httpx.AsyncClient() as client:
            sender = ServerClient(client=client, url=f"http://{address}")
            sends = [sender.send(REQUEST, timeout_s=DEADLINE_S) for _ in range(CALLS)]
            tasks = [asyncio.create_task(send) for send in sends]
            while flood.sent_bytes < len(BLOCK) * CALLS:
                await asyncio.sleep(0.01)
            fill_sockets()
            longest = await longest_turn_s()
            assert not any(task.done() for task in tasks)
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
    assert longest < MAX_TURN_S
