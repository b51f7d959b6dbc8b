"""A prompt part that crashes servers, whose requests come in batches."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "harness-2"))

import fleet  # noqa: E402

DEADLY = "dead0001"
SERVERS = 8
BATCH = 16
SPACING_S = 0.01
"""Time between two requests of a batch."""
SECOND_BATCH_S = 5.0
"""Time from the first batch to the second one."""
PREFILL_S = 0.2
DOWN_S = 1.5
"""Time for which a crashed server is down."""
MAX_ARRIVALS = 3


async def run(arrival: fleet.Arrival) -> None:
    await asyncio.sleep(PREFILL_S)
    if fleet.trouble() and DEADLY in arrival.headers.get("x-prompt-prefix", ""):
        arrival.server.crash(DOWN_S)
        return
    await arrival.stream(12, 0.06)


async def case(record: fleet.Record, directory: Path) -> int:
    store = fleet.Store(record)
    ports = [await store.listen() for _ in range(2)]
    store.put("keyed.op", "config", fleet.config(7, [fleet.LLM_ROUTE]))
    servers = [
        fleet.Server(f"i-{n:08x}", "llm", store, record, slots=64, run=run) for n in range(SERVERS)
    ]
    for server in servers:
        await server.start()
    gateways = [fleet.Gateway(f"front-{n}", port, directory) for n, port in enumerate(ports)]
    number = 0

    async def send(first_part: str, kind: str) -> None:
        nonlocal number
        number += 1
        request, gateway = f"{kind}{number:06d}", gateways[number % 2]
        headers = {
            "X-Request-Id": request, "X-Model": "m", "X-Token-Counts": "1460,72",
            "X-Prompt-Prefix": f"{first_part}:512,{number % 40 + 0xB000:x}:800,{number:x}:148",
            "X-Deadline-Ms": "15000", "X-Api-Key": fleet.KEY,
        }  # fmt: skip
        sent_at = record.now()
        answer = await fleet.call(
            gateway.front, "POST", "/plan/1", headers, b"draft", timeout_s=15.0
        )
        record.write(
            f"{kind} {request} to {gateway.name} at {sent_at:.3f}: status {answer.status} "
            f"complete {answer.complete} {answer.error} after {answer.elapsed_s:.3f} s"
        )

    async def send_batch() -> None:
        tasks = []
        for _ in range(BATCH):
            tasks.append(asyncio.create_task(send(DEADLY, "deadly")))
            await asyncio.sleep(SPACING_S)
        await asyncio.gather(*tasks)

    async def send_sound() -> None:
        tasks = []
        while True:
            tasks.append(asyncio.create_task(send("a0000001", "sound")))
            await asyncio.sleep(0.1)

    try:
        await asyncio.gather(*(gateway.start() for gateway in gateways))
        sound = asyncio.create_task(send_sound())
        await asyncio.sleep(fleet.CONTACT_S + 2.0)
        record.write(f"first batch: {BATCH} requests with the part")
        first = asyncio.create_task(send_batch())
        await asyncio.sleep(SECOND_BATCH_S)
        record.write(f"second batch: {BATCH} requests with the part")
        await asyncio.gather(first, send_batch())
        await asyncio.sleep(2.0)
        sound.cancel()
    finally:
        for gateway in gateways:
            await gateway.end()
        for server in servers:
            server.stop()
        store.close()
    arrivals = sorted(
        (arrival.at, arrival.server.name, arrival.id)
        for server in servers
        for arrival in server.arrivals
        if DEADLY in arrival.headers.get("x-prompt-prefix", "")
    )
    for at, server_name, request in arrivals:
        record.write(f"deadly request {request} reached {server_name} at {at:.3f}")
    crashes = sorted(at for server in servers for at in server.crashes)
    record.write(f"crashes at {[round(at, 3) for at in crashes]}")
    if not fleet.trouble():
        return record.verdict(False, f"no crash; {len(arrivals)} requests with the part ran")
    if len(crashes) < 5:
        raise fleet.CannotRun(f"only {len(crashes)} crashes")
    counted_from = crashes[4] + fleet.CONTACT_S
    late = [at for at, _, _ in arrivals if at > counted_from]
    text = f"{len(late)} requests with the part reached servers later than 3 s after the 5th crash"
    return record.verdict(len(late) > MAX_ARRIVALS, f"{text} (at {crashes[4]:.3f})")


if __name__ == "__main__":
    sys.exit(fleet.play(case, FOLDER))
