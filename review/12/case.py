"""An application server runs an unsafe request and answers 503 without X-Not-Executed."""

from __future__ import annotations

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
RECORD = FOLDER / "record.txt"
"""What was sent, answered and run."""
sys.path.insert(0, str(FOLDER.parent / "common-3"))

import standins  # noqa: E402
from server import Server  # noqa: E402

REQUESTS = 60
PROMISES = (408, 421, 429, 503)


async def main(record: standins.Record, scratch: str, trouble: bool) -> int:
    store = standins.Store()
    await store.start()
    runs: dict[str, int] = {}
    for number in range(3):
        server = Server(
            server=f"i-app{number}", false_share=3 if trouble else 0, false_statuses=(503, 429)
        )

        def count(request_id: str, path: str, server: str = server.server) -> None:
            runs[request_id] = runs.get(request_id, 0) + 1
            record.add(f"{request_id} runs at {server}")

        server.on_run = count
        server.on_end = lambda request_id, what: record.add(f"{request_id} ends: server says {what}")
        port = standins.free_port()
        await asyncio.start_server(server.serve, "127.0.0.1", port)
        standins.Entry(
            store, server=server.server, service="app", address=f"127.0.0.1:{port}", slots=6,
            zone="kigali-a",
        ).start()
    store.put(
        "keyed.op", "config",
        standins.config(7, [standins.route("/hold/", "unsafe", "app")], [standins.app_service("app")]),
    )
    gateway = standins.Gateway(name="front-1", store_address=store.address, folder=scratch)
    gateway.start()
    try:
        if not await gateway.wait_ready():
            record.add("the gateway is not ready")
            return 2
        broken = answered = doubled = 0
        for number in range(REQUESTS):
            ran_before = 0
            for attempt in (1, 2):
                request_id = f"hold-{number}-{attempt}"
                answer = await standins.send_request(
                    gateway.front, "POST", "/hold/1", request_id, body=b"seat",
                    headers={"X-Deadline-Ms": "1500"}, record=record,
                )
                ran = runs.get(request_id, 0)
                answered += answer.complete
                seal = answer.headers.get("x-response-seal", "none")
                record.add(
                    f"{request_id} answered {answer.status} {answer.error} seal {seal}; "
                    f"ran {ran} times"
                )
                if answer.status in PROMISES and ran:
                    broken += 1
                    record.add(f"REFUSED: {request_id} got {answer.status} and has run")
                if ran and ran_before:
                    doubled += 1
                    record.add(f"seat hold {number} has now run twice: the client trusted the promise")
                ran_before += ran
                if answer.status not in PROMISES:
                    break
        record.add(f"answered {answered}, refused though run {broken}, seat holds run twice {doubled}")
        if not answered:
            return 2
        return 1 if broken else 0
    finally:
        gateway.end()


standins.run_case(main, RECORD)
