"""Kills peers of the control protocol and counts the processes that end by themselves.

Run from the repository's root, after `make install`:

    .venv/bin/python review/harness-2/control_client.py

Eight processes with a `ControlServer` and a `ControlClient` each send requests to each other, several
at a time. One of them is killed (SIGKILL) and started again every second. Exits with 1 if another one
ended, 0 if none did. With `CLOSE=0` a failed request does not close its connection, which other
requests may use.
"""

from __future__ import annotations

import asyncio
import os
import random
import subprocess
import sys
import tempfile
import time
from pathlib import Path

from cornellead_core.auth import FleetKey
from cornellead_core.wire import ControlClient
from cornellead_core.wire import ControlServer
from cornellead_core.wire import LoadExchange
from cornellead_core.wire import Traffic

SEED = 46
PROCESSES = 8
DURATION_S = 60.0
CALLERS = 4
"""Concurrent loops of requests in a process, as of the agent's exchanges."""
REQUESTS = 3
FIRST_PORT = 31_000
IP = "127.0.0.1"
KEY = FleetKey(secret=b"k" * 32)


class KeptOpenClient(ControlClient):
    """Client that leaves its connections open after a failure."""

    def _close(self, address: str) -> None:
        pass


async def run_node(port: int) -> None:
    traffic = Traffic()
    client_type = KeptOpenClient if os.environ.get("CLOSE") == "0" else ControlClient
    client = client_type(key=KEY, traffic=traffic)
    peers = [f"{IP}:{FIRST_PORT + n}" for n in range(PROCESSES) if FIRST_PORT + n != port]

    async def handle(_: object) -> LoadExchange:
        return LoadExchange([])

    async def call_peers() -> None:
        while True:
            chosen = random.sample(peers, REQUESTS)
            await asyncio.gather(*(client.request(peer, LoadExchange([])) for peer in chosen))
            await asyncio.sleep(random.uniform(0.0, 0.02))

    server = ControlServer(address=f"{IP}:{port}", key=KEY, traffic=traffic, handler=handle)
    await asyncio.gather(server.run(), *(call_peers() for _ in range(CALLERS)))


def start_node(port: int, directory: Path) -> subprocess.Popen[bytes]:
    with (directory / f"{port}.log").open("ab") as log:
        return subprocess.Popen([sys.executable, __file__, str(port)], stdout=log, stderr=log)


def main() -> int:
    rng = random.Random(SEED)
    kills, ended = 0, 0
    with tempfile.TemporaryDirectory(prefix="review-") as name:
        directory = Path(name)
        ports = range(FIRST_PORT, FIRST_PORT + PROCESSES)
        nodes = {port: start_node(port, directory) for port in ports}
        stop_at = time.monotonic() + DURATION_S
        try:
            while time.monotonic() < stop_at:
                time.sleep(rng.uniform(0.5, 1.0))
                for port, node in nodes.items():
                    if node.poll() is not None:
                        ended += 1
                        print(f"process {port - FIRST_PORT} ended with status {node.returncode}")
                        nodes[port] = start_node(port, directory)
                port = rng.choice(ports)
                nodes[port].kill()
                nodes[port].wait()
                kills += 1
                time.sleep(rng.uniform(0.0, 0.4))
                nodes[port] = start_node(port, directory)
        finally:
            for node in nodes.values():
                node.kill()
                node.wait()
        logs = "".join(path.read_text(errors="replace") for path in directory.iterdir())
    causes = [line for line in logs.splitlines() if line.startswith("panic")]
    for cause in sorted(set(causes)):
        print(f"{causes.count(cause)} x {cause}")
    print(f"{kills} processes killed, {ended} others ended")
    return 1 if ended else 0


if __name__ == "__main__":
    if len(sys.argv) > 1:
        asyncio.run(run_node(int(sys.argv[1])))
    else:
        sys.exit(main())
