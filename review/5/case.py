"""A server leaves and says so in its answers. Its last heartbeat, which got no answer from the store,
is executed after its entry was removed. The gateway that knows of the leaving may not send again.
"""

import asyncio
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
RECORD = HERE / "record.txt"
sys.path.insert(0, str(HERE.parent))

from harness import fleet

LOST_TO_LEAVING_S = 0.6
LATE_S = 4.5
"""From the lost heartbeat to its execution: 1 to 6 s."""
DRAIN_S = fleet.BOUNDS["drain_ms"] / 1000
SERVES_ON_S = 9.0
"""From the leaving to the exit of the server: drain_ms and a little longer, at times many seconds."""


async def answer(server, req):
    await asyncio.sleep(0.045)
    leaving = [("Server-Leaving", "1")] if server.state == "leaving" else []
    req.reply(200, fleet.own_headers(req, *leaving), b"held")


async def send_holds(record, gateway, name, until, passed_on, sent):
    number = 0
    while time.monotonic() < until:
        number += 1
        client = fleet.Client(gateway.front)
        await client.connect()
        request_id = f"{name}-{number}"
        sent[request_id] = time.monotonic()
        client.send("POST", "/hold/1", request_id, deadline_ms=1500, body=b"seat")
        got = await client.receive()
        client.close()
        if got.headers.get("server-leaving") == "1":
            passed_on.append(got.ended_at)
            record.add(f"client: {request_id} gets {got}, Server-Leaving: 1")
        elif got.status != 200:
            record.add(f"client: {request_id} gets {got}")
        await asyncio.sleep(0.1)


async def case(record, scratch, gateways):
    store = fleet.Store()
    await store.start()
    store.put("keyed.op", "config", fleet.config(7, [fleet.hold_route()], [fleet.app_service()]))
    servers = [
        fleet.Server(store, record, name=f"i-{n}", service="office", slots=6, script=answer)
        for n in (1, 2, 3)
    ]
    for server in servers:
        await server.start()
    gateway = fleet.Gateway(scratch, store)
    gateways.append(gateway)
    gateway.start()
    await gateway.wait_ready()
    await asyncio.sleep(4.0)
    leaving, passed_on, sent = servers[0], [], {}
    until = time.monotonic() + 1.2 + LOST_TO_LEAVING_S + SERVES_ON_S
    callers = [
        asyncio.create_task(send_holds(record, gateway, name, until, passed_on, sent))
        for name in ("a", "b", "c")
    ]
    leaving.lose_next = fleet.TROUBLE
    await leaving.beaten.wait()
    lost_at = time.monotonic()
    if leaving.lost is not None:
        record.add(f"store: has the heartbeat {leaving.lost}, and answers nothing")
    await asyncio.sleep(LOST_TO_LEAVING_S)
    leaving.leave()
    left_at = time.monotonic()
    record.add(f"server {leaving.name}: leaves; the store removes its entry")
    await asyncio.sleep(lost_at + LATE_S - time.monotonic())
    if leaving.lost is not None:
        store.put("keyed.servers", leaving.name, leaving.lost)
        record.add(f"store: executes the heartbeat {LATE_S} s late: {leaving.lost}")
        await asyncio.sleep(3 * fleet.HEARTBEAT_S)
        store.put("keyed.servers", leaving.name, None)
        record.add("store: removes the entry after three heartbeat intervals of silence")
    await asyncio.sleep(left_at + SERVES_ON_S - time.monotonic())
    record.add(f"server {leaving.name}: exits with {len(leaving.open_requests)} requests")
    leaving.exit()
    await asyncio.gather(*callers)
    if not passed_on:
        raise fleet.CannotRun("no answer with Server-Leaving was passed on")
    known_at = min(passed_on)
    after = [
        (at - known_at, request_id)
        for at, request_id in leaving.requests
        if sent[request_id] - known_at > DRAIN_S
    ]
    for delay, request_id in after:
        record.add(f"{request_id} reached {leaving.name} {delay:.2f} s after Server-Leaving")
    if not after:
        return ""
    return (
        f"DRAIN: {len(after)} requests reached {leaving.name} from {gateway.name} {after[0][0]:.2f}"
        f" to {after[-1][0]:.2f} s after it had passed on an answer with Server-Leaving"
    )


if __name__ == "__main__":
    fleet.run_case(RECORD, case)
