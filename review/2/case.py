"""A server falls silent in the middle of a stream, and the one that is asked to go on spoils its
answer. The client must get each event once."""

import asyncio
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
RECORD = HERE / "record.txt"
sys.path.insert(0, str(HERE.parent))

from harness import fleet

LAST = 10
SOUND_REQUESTS = 60
"""Requests whose answers are not spoilt, so that the spoilt one is below 2 in 100 of all."""
SILENCE_S = 2.4
"""Below the 4 s after which clients give a stream of this route up."""


async def answer(server, req):
    """The first run of one request is preempted after its third event and goes on later."""
    resumed_after = int(req.headers.get("last-event-id", "0"))
    preempted = req.headers["x-request-id"] == "preempted" and not resumed_after
    server.record.add(f"server {server.name}: runs {req.headers['x-request-id']}")
    if resumed_after and fleet.TROUBLE:
        # One segment: the head, two events, and bytes that are no chunk.
        data = fleet.stream_head(req)
        data += fleet.chunk(fleet.event(resumed_after + 1) + fleet.event(resumed_after + 2))
        req.writer.write(data + b"\x00\xff spoilt \xff\x00\r\n")
        server.record.add(
            f"server {server.name}: sends events {resumed_after + 1} to {resumed_after + 2},"
            " then spoilt bytes"
        )
        await req.writer.drain()
        req.writer.close()
        return
    req.writer.write(fleet.stream_head(req))
    for number in range(resumed_after + 1, LAST + 1):
        req.writer.write(fleet.chunk(fleet.event(number)))
        await req.writer.drain()
        if number == 3 and preempted:
            server.record.add(f"server {server.name}: preempted after event 3")
            await asyncio.sleep(SILENCE_S)
            server.record.add(f"server {server.name}: goes on with event 4")
        await asyncio.sleep(0.03)
    req.writer.write(b"0\r\n\r\n")


async def case(record, scratch, gateways):
    store = fleet.Store()
    await store.start()
    routes = [fleet.chat_route()]
    store.put("keyed.op", "config", fleet.config(7, routes, [fleet.model_service()]))
    for number in (1, 2):
        server = fleet.Server(store, record, name=f"i-{number}", service="llm", script=answer)
        await server.start()
    gateway = fleet.Gateway(scratch, store)
    gateways.append(gateway)
    gateway.start()
    await gateway.wait_ready()
    await asyncio.sleep(2.0)

    async def call(request_id, number, on_data=lambda data: None):
        client = fleet.Client(gateway.front)
        await client.connect()
        client.send(
            "POST", "/chat/1", request_id, deadline_ms=12000, body=b"hello",
            headers=["X-Model: m", "X-Token-Counts: 300,80",
                     f"X-Prompt-Prefix: 5c1e07a2:120,91bd3f{number:02x}:580,e4402b{number:02x}:130"],
        )  # fmt: skip
        got = await client.receive(on_data)
        client.close()
        record.add(f"client: {request_id} ends, {got}")
        ids = [int(line[3:]) for line in got.body.split(b"\n") if line.startswith(b"id:")]
        expected = list(range(1, LAST + 1))
        if ids != expected[: len(ids)] or (got.complete and ids != expected):
            return f"ORDER: {request_id} got events {ids}, complete: {got.complete}"
        return ""

    calls = []
    for number in range(SOUND_REQUESTS):
        calls.append(asyncio.create_task(call(f"sound-{number}", number)))
        await asyncio.sleep(0.05)
    broken = [text for text in await asyncio.gather(*calls) if text]
    record.add("client: sends preempted")
    log = lambda data: record.add(f"client: gets {data!r}")  # noqa: E731
    broken += filter(None, [await call("preempted", SOUND_REQUESTS, log)])
    return "; ".join(broken)


if __name__ == "__main__":
    fleet.run_case(RECORD, case)
