"""A prompt part that crashes servers whose streams end with their connection."""

from __future__ import annotations

import asyncio
import json
import os
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
HARNESS = FOLDER.parent / "harness-2"
sys.path.insert(0, str(HARNESS))

import fleet  # noqa: E402

DEADLY = "dead0001"
SERVERS = 8
DOWN_S = 3.0
DEADLY_INTERVAL_S = 0.7
DEADLY_REQUESTS = 24
MAX_ARRIVALS = 3


class Process:
    """A model server process that is started again after a crash, with its entry in the store."""

    def __init__(self, name: str, store: fleet.Store, record: fleet.Record) -> None:
        self.name, self.store, self.record = name, store, record
        self.port = fleet.free_port()
        self.arrivals: list[tuple[float, str]] = []
        """Time and id of each request with the part."""
        self.crashes: list[float] = []
        self.ran = 0
        """Requests that the server has read whole."""
        self.ended = False
        self.process: asyncio.subprocess.Process | None = None

    async def run(self) -> None:
        """Run the process, again and again, until `end`."""
        while not self.ended:
            part = DEADLY if fleet.trouble() else "none"
            self.process = await asyncio.create_subprocess_exec(
                os.environ.get("PYTHON", "python3"), str(HARNESS / "model_server.py"),
                str(self.port), self.name, "64", part, stdout=asyncio.subprocess.PIPE,
            )  # fmt: skip
            assert self.process.stdout is not None
            beats: asyncio.Task[None] | None = None
            async for line in self.process.stdout:
                word, *rest = line.decode().split()
                if word == "listening":
                    beats = asyncio.create_task(self._beat(int(time.time() * 1000)))
                    continue
                self.ran += 1
                if rest[0].startswith("deadly"):
                    self.arrivals.append((self.record.now(), rest[0]))
                    self.record.write(f"{rest[0]} reached {self.name}")
            await self.process.wait()
            if beats is not None:
                beats.cancel()
            if not self.ended:
                self.crashes.append(self.record.now())
                self.record.write(f"server {self.name} crashed")
                await asyncio.sleep(DOWN_S)

    async def _beat(self, born: int) -> None:
        sequence = 0
        while True:
            sequence += 1
            entry = {
                "service": "llm", "address": f"{fleet.IP}:{self.port}", "zone": fleet.ZONE,
                "version": "v1", "slots": 64, "state": "ready", "cold_remaining_ms": 0,
                "sequence": sequence, "born": born,
            }  # fmt: skip
            self.store.append("keyed.servers", self.name, json.dumps(entry).encode())
            await asyncio.sleep(fleet.HEARTBEAT_S)

    async def end(self) -> None:
        self.ended = True
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()


async def case(record: fleet.Record, directory: Path) -> int:
    store = fleet.Store(record)
    ports = [await store.listen() for _ in range(2)]
    store.put("keyed.op", "config", fleet.config(7, [fleet.LLM_ROUTE]))
    servers = [Process(f"i-{n:08x}", store, record) for n in range(SERVERS)]
    runs = [asyncio.create_task(server.run()) for server in servers]
    gateways = [fleet.Gateway(f"front-{n}", port, directory) for n, port in enumerate(ports)]
    number = 0
    empty_streams = 0

    async def send(first_part: str, kind: str) -> None:
        nonlocal number, empty_streams
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
        if answer.status == 200 and answer.complete and not answer.body:
            empty_streams += 1
        record.write(
            f"{kind} {request} to {gateway.name} at {sent_at:.3f}: status {answer.status} "
            f"complete {answer.complete} {answer.body.count(b'data:')} events {answer.error}"
        )

    async def send_sound() -> None:
        tasks = []
        while True:
            tasks.append(asyncio.create_task(send("a0000001", "sound")))
            await asyncio.sleep(0.1)

    try:
        await asyncio.gather(*(gateway.start() for gateway in gateways))
        sound = asyncio.create_task(send_sound())
        await asyncio.sleep(fleet.CONTACT_S + 2.0)
        tasks = []
        for _ in range(DEADLY_REQUESTS):
            tasks.append(asyncio.create_task(send(DEADLY, "deadly")))
            await asyncio.sleep(DEADLY_INTERVAL_S)
        await asyncio.gather(*tasks)
        await asyncio.sleep(1.0)
        sound.cancel()
    finally:
        for gateway in gateways:
            await gateway.end()
        for server in servers:
            await server.end()
        await asyncio.gather(*runs, return_exceptions=True)
        store.close()
    for server in servers:
        record.write(f"server {server.name} ran {server.ran} requests")
    arrivals = sorted(at for server in servers for at, _ in server.arrivals)
    crashes = sorted(at for server in servers for at in server.crashes)
    record.write(f"crashes at {[round(at, 3) for at in crashes]}")
    record.write(f"{empty_streams} answers were complete streams without an event")
    if not fleet.trouble():
        held = not empty_streams and not crashes
        return record.verdict(not held, f"no crash; {len(arrivals)} requests with the part ran")
    if len(crashes) < 5:
        return record.verdict(False, f"only {len(crashes)} crashes, then the part was refused")
    late = [at for at in arrivals if at > crashes[4] + fleet.CONTACT_S]
    text = f"{len(late)} requests with the part reached servers later than 3 s after the 5th crash"
    text += f" (at {crashes[4]:.3f}); {empty_streams} complete streams without an event"
    return record.verdict(len(late) > MAX_ARRIVALS, text)


if __name__ == "__main__":
    sys.exit(fleet.play(case, FOLDER / "record.txt"))
