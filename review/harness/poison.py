"""Gateways, servers and callers with a part of a prompt that crashes each server that begins to
answer it."""

import asyncio
import random
import time
from typing import NamedTuple

from harness import fleet

TAINTED = "48720f1e"
CONTACT_S = fleet.BOUNDS["contact_ms"] / 1000
BACK_AFTER_S = 3.0
LAST = 10
RUN_S = 30.0


class Answers(NamedTuple):
    """How the servers answer, with the tainted part and without."""

    chunked: bool
    """Whether streams come in chunks; without, they end with their connection."""
    first_event_after_s: float
    """Time from the head to the first event: the request waits for its place in the batch."""
    crash_inside_event: bool
    """Whether a crash cuts the first event off, or comes just after it."""


class CrashingServer(fleet.Server):
    """Crashes when it begins to answer a request with the tainted part, and is back after 3 s."""

    answers: Answers
    crashes = []
    reached = []

    async def answer(self, req):
        tainted = TAINTED in req.headers.get("x-prompt-prefix", "")
        if tainted:
            self.reached.append((time.monotonic(), req.headers["x-request-id"]))
        answers = self.answers
        await asyncio.sleep(0.02)
        head = fleet.stream_head(req)
        if not answers.chunked:
            head = head.replace(b"Transfer-Encoding: chunked\r\n", b"")
        req.writer.write(head)
        await req.writer.drain()
        await asyncio.sleep(answers.first_event_after_s)
        frame = fleet.chunk if answers.chunked else bytes
        if tainted and fleet.TROUBLE:
            first = fleet.event(1)
            req.writer.write(frame(first[:9] if answers.crash_inside_event else first))
            await req.writer.drain()
            self.crash()
            return
        for number in range(int(req.headers.get("last-event-id", "0")) + 1, LAST + 1):
            req.writer.write(frame(fleet.event(number)))
            await req.writer.drain()
            await asyncio.sleep(0.03)
        if answers.chunked:
            req.writer.write(b"0\r\n\r\n")
        else:
            req.writer.close()

    def crash(self):
        self.crashes.append(time.monotonic())
        self.record.add(
            f"server {self.name}: crash {len(self.crashes)} with {len(self.open_requests)} requests"
        )
        self.end()
        self._back = asyncio.create_task(self.restart(BACK_AFTER_S))


async def send_chat(record, gateway, request_id, parts, results):
    client = fleet.Client(gateway.front)
    try:
        await client.connect()
        prefix = ",".join(f"{part}:{size}" for part, size in parts)
        client.send(
            "POST", "/chat/1", request_id, deadline_ms=12000, body=b"hello",
            headers=["X-Model: m", "X-Token-Counts: 300,80", f"X-Prompt-Prefix: {prefix}"],
        )  # fmt: skip
        got = await client.receive()
    except OSError:
        got = fleet.Answer()
    client.close()
    events = got.body.count(b"\n\n")
    served = got.status == 200 and got.complete and events == LAST
    results.append((request_id, served))
    if not served:
        record.add(f"client: {request_id} at {gateway.name} gets {got}, {events} events")


async def run(record, scratch, gateways, answers):
    CrashingServer.answers = answers
    store = fleet.Store()
    await store.start()
    routes = [fleet.chat_route()]
    store.put("keyed.op", "config", fleet.config(7, routes, [fleet.model_service()]))
    servers = [
        CrashingServer(store, record, name=f"i-{n}", service="llm", script=CrashingServer.answer)
        for n in range(1, 9)
    ]
    for server in servers:
        await server.start()
    for number in (1, 2):
        gateway = fleet.Gateway(scratch, store, name=f"front-{number}")
        gateways.append(gateway)
        gateway.start()
    for gateway in gateways:
        await gateway.wait_ready()
    await asyncio.sleep(4.0)
    rng, results, tasks = random.Random(4), [], []
    ends_at, number = time.monotonic() + RUN_S, 0
    while time.monotonic() < ends_at:
        number += 1
        # One request in 20 has the tainted part; the sound ones share its first part.
        tainted = number > 40 and number % 20 == 0
        session = TAINTED if tainted else f"91bd3f{rng.randrange(20):02x}"
        parts = [("5c1e07a2", 120), (session, 580), (f"e4402b{number:04x}", 130)]
        kind = "tainted" if tainted else "sound"
        chat = send_chat(record, gateways[rng.randrange(2)], f"{kind}-{number}", parts, results)
        tasks.append(asyncio.create_task(chat))
        await asyncio.sleep(0.05)
    await asyncio.gather(*tasks)
    crashes = CrashingServer.crashes
    sound = [served for request_id, served in results if request_id.startswith("sound")]
    record.add(f"{len(crashes)} crashes; {sum(sound)} of {len(sound)} sound requests were served")
    if len(crashes) < 5:
        return ""
    late = [(at, r) for at, r in CrashingServer.reached if at > crashes[4] + CONTACT_S]
    if len(late) <= 3:
        return ""
    return (
        f"BUDGET: {len(late)} requests with the part {TAINTED} reached servers later than"
        f" {CONTACT_S:g} s after the fifth crash; {len(sound) - sum(sound)} sound requests failed"
    )
