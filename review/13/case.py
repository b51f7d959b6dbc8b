"""A machine is cut off from the store. Just after the cut a server leaves by the removal of its
entry, without reporting that it drains."""

from __future__ import annotations

import asyncio
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
RECORD = FOLDER / "record.txt"
"""What was sent, answered and run."""
sys.path.insert(0, str(FOLDER.parent / "common-3"))

import standins  # noqa: E402
from server import Server  # noqa: E402

CUTS_S = (4.8, 4.9, 5.0, 5.1, 5.2, 5.3)
"""Lengths of the cuts. The end of a cut meets the reads of the gateway at any phase."""
LEAVES_AFTER_S = 0.9
"""From the end of the cut to the removal of the entry."""
WATCHED_S = 5.5
"""Time for which requests are sent after the end of the cut."""
CONTACT_S = 3.0
DRAIN_S = 2.0
REQUEST_INTERVAL_S = 0.025
SLOW_S, FAST_S = 0.03, 0.01
"""Work of a request at the servers that stay, and at the one that leaves."""


async def main(record: standins.Record, scratch: str, trouble: bool) -> int:
    store = standins.Store()
    await store.start()
    link = standins.Link(store.port)
    await link.start()
    store.put(
        "keyed.op",
        "config",
        standins.config(
            7,
            [standins.route("/lookup/", "safe", "app", max_attempts=2)],
            [standins.app_service("app")],
        ),
    )
    arrivals: list[tuple[float, str, str]] = []
    starts = 0

    async def add_server(work_s: float) -> tuple[str, standins.Entry]:
        nonlocal starts
        starts += 1
        server = Server(server=f"i-app{starts}", work_s=work_s)
        name = server.server

        def arrive(request_id: str, path: str) -> None:
            arrivals.append((time.monotonic(), request_id, name))
            record.add(f"{request_id} runs at {name}")

        server.on_run = arrive
        server.on_end = lambda request_id, what: None
        port = standins.free_port()
        await asyncio.start_server(server.serve, "127.0.0.1", port)
        entry = standins.Entry(
            store, server=name, service="app", address=f"127.0.0.1:{port}", slots=6,
            zone="kigali-a",
        )
        entry.start()
        return name, entry

    for _ in range(2):
        await add_server(SLOW_S)
    name, entry = await add_server(FAST_S)
    gateway = standins.Gateway(name="front-1", store_address=link.address, folder=scratch)
    gateway.start()
    sent_at: dict[str, float] = {}
    answered = 0
    clients: set[asyncio.Task] = set()

    async def request(request_id: str) -> None:
        nonlocal answered
        sent_at[request_id] = time.monotonic()
        answer = await standins.send_request(
            gateway.front, "GET", "/lookup/1", request_id, headers={"X-Deadline-Ms": "1500"},
            record=record,
        )
        answered += answer.status == 200

    async def send_until(end: float) -> None:
        while time.monotonic() < end:
            task = asyncio.create_task(request(f"lookup-{len(sent_at)}"))
            clients.add(task)
            task.add_done_callback(clients.discard)
            await asyncio.sleep(REQUEST_INTERVAL_S)

    try:
        if not await gateway.wait_ready():
            record.add("the gateway is not ready")
            return 2
        await asyncio.sleep(2.0)
        late_total = 0
        for number, cut_s in enumerate(CUTS_S):
            if trouble:
                record.add("the link from the machine to the store is cut")
                link.cut()
            await asyncio.sleep(cut_s)
            link.heal()
            healed_at = time.monotonic()
            if trouble:
                record.add("the link is whole again")
            traffic = asyncio.create_task(send_until(healed_at + WATCHED_S))
            await asyncio.sleep(LEAVES_AFTER_S)
            gone_at = entry.remove()
            record.add(f"the store acknowledges the removal of server {name}, which serves on")
            await traffic
            await asyncio.sleep(0.2)
            in_touch_at = healed_at + CONTACT_S if trouble else 0.0
            bound = gone_at + DRAIN_S
            late = [
                (at, request_id)
                for at, request_id, server in arrivals
                if server == name and at > bound and sent_at[request_id] >= in_touch_at
            ]
            late_total += len(late)
            for at, request_id in late[:5]:
                record.add(
                    f"DRAIN: {request_id}, sent {sent_at[request_id] - healed_at:.3f} s after the "
                    f"end of the cut, reached {name} {at - gone_at:.3f} s after its removal was "
                    "acknowledged"
                )
            record.add(f"round {number}: {len(late)} requests reached {name} too late")
            name, entry = await add_server(FAST_S)
            await send_until(time.monotonic() + 1.0)
        for line in gateway.log_lines("store lost", "store back", "server ended"):
            record.add(f"gateway: {line}")
        record.add(f"{len(sent_at)} sent, {answered} answered 200, {late_total} too late")
        if not answered:
            return 2
        return 1 if late_total else 0
    finally:
        gateway.end()


standins.run_case(main, RECORD)
