"""A gateway that reads the store for its zone is stopped as planned. Meanwhile a server leaves by
the removal of its entry, and the store executes an earlier write of that server late."""

from __future__ import annotations

import asyncio
import pathlib
import signal
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
RECORD = FOLDER / "record.txt"
"""What was sent, answered and run."""
sys.path.insert(0, str(FOLDER.parent / "common-3"))

import standins  # noqa: E402
from server import Server  # noqa: E402

ROUNDS = 3
LOST_AT_S = 0.2
"""Time in a round at which the answer to a write of the leaving server is lost."""
LATE_S = 5.9
"""Time from then until the store executes the write; `platform_lost` names 1 to 6 s."""
GONE_AT_S = 3.7
"""Removal of the entry, which the store acknowledges more than contact_ms after the disruption."""
STOP_AT_S = 2.0
"""SIGTERM of the reading gateway, which ends some 2.6 s later."""
DRAIN_S = 2.0
WATCHED_S = 9.5
REQUEST_INTERVAL_S = 0.025
SLOW_S, FAST_S = 0.03, 0.01


async def main(record: standins.Record, scratch: str, trouble: bool) -> int:
    store = standins.Store()
    await store.start()
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
    # The gateway with the faster link reads the store for its zone, and the other one asks it.
    reader = standins.Gateway(
        name="front-1", store_address=store.address, folder=scratch, link_mbps=2000.0
    )
    other = standins.Gateway(name="front-2", store_address=store.address, folder=scratch)
    gateways = [reader, other]
    reader.start()
    sent = answered = 0

    async def request(request_id: str) -> None:
        nonlocal answered
        answer = await standins.send_request(
            other.front, "GET", "/lookup/1", request_id, headers={"X-Deadline-Ms": "1500"},
            record=record,
        )
        answered += answer.status == 200

    async def send_until(end: float) -> None:
        nonlocal sent
        while time.monotonic() < end:
            sent += 1
            asyncio.create_task(request(f"lookup-{sent}"))
            await asyncio.sleep(REQUEST_INTERVAL_S)

    try:
        if not await reader.wait_ready():
            record.add("the gateway is not ready")
            return 2
        await asyncio.sleep(1.0)
        other.start()
        if not await other.wait_ready():
            record.add("the second gateway is not ready")
            return 2
        late_total = 0
        for number in range(ROUNDS):
            name, entry = await add_server(FAST_S)
            # Long enough for front-2 to read through front-1 (again).
            await asyncio.sleep(6.0)
            begun_at = time.monotonic()
            traffic = asyncio.create_task(send_until(begun_at + WATCHED_S))
            await asyncio.sleep(LOST_AT_S)
            lost = None
            if trouble:
                lost = entry.skip_write()
                record.add(f"the answer to write {lost['sequence']} of {name} is lost")
            await asyncio.sleep(begun_at + STOP_AT_S - time.monotonic())
            if trouble:
                reader.send_signal(signal.SIGTERM)
                record.add("front-1, which reads the store for the zone, gets SIGTERM")
            await asyncio.sleep(begun_at + GONE_AT_S - time.monotonic())
            gone_at = entry.remove()
            record.add(f"the store acknowledges the removal of server {name}, which serves on")
            await asyncio.sleep(begun_at + LOST_AT_S + LATE_S - 0.2 - time.monotonic())
            if trouble and reader.process is not None:
                record.add(f"front-1 has ended with {reader.process.poll()}")
            await asyncio.sleep(begun_at + LOST_AT_S + LATE_S - time.monotonic())
            if lost is not None:
                store.put("keyed.servers", name, lost)
                record.add(f"the store executes write {lost['sequence']} of {name}, an earlier one")
            await traffic
            await asyncio.sleep(0.3)
            late = [
                (at, request_id)
                for at, request_id, server in arrivals
                if server == name and at > gone_at + DRAIN_S
            ]
            late_total += len(late)
            for at, request_id in [*late[:3], *late[-1:]]:
                record.add(
                    f"DRAIN: {request_id} reached {name} {at - gone_at:.3f} s after its removal "
                    "was acknowledged, from front-2"
                )
            record.add(f"round {number}: {len(late)} requests reached {name} too late")
            store.put("keyed.servers", name, None)
            if trouble:
                reader.end()
                reader = standins.Gateway(
                    name="front-1", store_address=store.address, folder=scratch, link_mbps=2000.0
                )
                gateways[0] = reader
                reader.start()
                if not await reader.wait_ready():
                    return 2
        for line in other.log_lines("reader not used", "server changed", "server ended"):
            record.add(f"front-2: {line}")
        record.add(f"{sent} sent, {answered} answered 200, {late_total} too late")
        if not answered:
            return 2
        return 1 if late_total else 0
    finally:
        for gateway in gateways:
            gateway.end()


standins.run_case(main, RECORD)
