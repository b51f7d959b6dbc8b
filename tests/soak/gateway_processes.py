"""Gateway processes of the soak test."""

from __future__ import annotations

import asyncio
import os
import signal
import sys
from typing import TYPE_CHECKING

import msgspec
from tests.platform_adapter import payloads

if TYPE_CHECKING:
    import random
    from collections.abc import Callable
    from pathlib import Path

GATEWAY_COUNT = 3
SIGNALS = (signal.SIGSTOP, signal.SIGCONT, signal.SIGKILL, signal.SIGTERM, signal.SIGHUP)


class GatewayProcesses:
    """Starts gateways as processes, sends them signals and ends them.

    :param directory: Receives the settings and logs of the gateways.
    :param find_address: Returns a free ``ip:port``.
    """

    def __init__(
        self, *, rng: random.Random, directory: Path, find_address: Callable[[], str]
    ) -> None:
        self._rng = rng
        self._directory = directory
        self.caller_addresses = [find_address() for _ in range(GATEWAY_COUNT)]
        self._listen_addresses = [
            (find_address(), find_address(), find_address()) for _ in range(GATEWAY_COUNT)
        ]
        """Addresses of each gateway for readiness checks, other gateways and metrics."""
        self.store_addresses = [""] * GATEWAY_COUNT
        """Address under which each gateway reaches the store."""
        self.processes: list[asyncio.subprocess.Process | None] = [None] * GATEWAY_COUNT
        self._stopped: set[int] = set()
        """Gateways that are paused by SIGSTOP, as far as the soak knows."""

    async def start(self, number: int) -> None:
        """Start a gateway."""
        ready_address, internal_address, metrics_address = self._listen_addresses[number]
        port = int(internal_address.rpartition(":")[2])
        settings = payloads.node_settings(
            self.store_addresses[number],
            node_name=f"front-{number}",
            listen={"front": self.caller_addresses[number], "ready": ready_address},
            internal_port_range=[port, port],
        )
        path = self._directory / f"boot-{number}.json"
        path.write_bytes(msgspec.json.encode(settings))
        with (self._directory / f"gateway-{number}.log").open("ab") as log:
            self.processes[number] = await asyncio.create_subprocess_exec(
                *(sys.executable, "-m", "cornellead.cli", "gateway"),
                *(f"--settings={path}", f"--metrics_port={metrics_address.rpartition(':')[2]}"),
                stdout=log,
                env=dict(os.environ),
            )

    def is_running(self, number: int) -> bool:
        """Whether the process of a gateway has not ended; it may be paused."""
        process = self.processes[number]
        return process is not None and process.returncode is None

    def is_serving(self, number: int) -> bool:
        """Whether the process of a gateway runs and is not paused."""
        return self.is_running(number) and number not in self._stopped

    def choose(self) -> int:
        """Return the number of a gateway."""
        return self._rng.randrange(GATEWAY_COUNT)

    async def signal_or_start(self, number: int) -> str:
        """Send a signal to a gateway, or start it if its process has ended."""
        process = self.processes[number]
        if process is None or process.returncode is not None:
            await self.start(number)
            return f"gateway-{number} start"
        sig = self._rng.choice(SIGNALS)
        process.send_signal(sig)
        if sig is signal.SIGSTOP:
            self._stopped.add(number)
        elif sig is signal.SIGCONT or sig is signal.SIGKILL:
            self._stopped.discard(number)
        return f"gateway-{number} {sig.name}"

    def resume(self) -> None:
        """Let paused gateways go on."""
        self._stopped.clear()
        for process in self.processes:
            if process is not None and process.returncode is None:
                process.send_signal(signal.SIGCONT)

    async def kill(self, number: int) -> None:
        """Kill the process of a gateway if it still runs."""
        process = self.processes[number]
        if process is not None and process.returncode is None:
            process.send_signal(signal.SIGKILL)
            await process.wait()
