"""Gateway processes of the soak test."""

from __future__ import annotations

import asyncio
import os
import signal
import sys
import time
from typing import TYPE_CHECKING

import msgspec
from tests.platform_adapter import payloads
from tests.soak.requests import Violation

if TYPE_CHECKING:
    import random
    from collections.abc import Callable
    from pathlib import Path

    from tests.soak.fault_log import FaultLog

GATEWAY_COUNT = int(os.environ.get("SOAK_GATEWAYS", "3"))
GRACE_S = 8.0
"""Time after SIGTERM at which the platform kills a process."""
POLL_S = 0.05
START_S = 1.5
"""Time after which a started gateway serves and handles signals."""
SIGNALS = (signal.SIGSTOP, signal.SIGCONT, signal.SIGKILL, signal.SIGTERM, signal.SIGHUP)
PLANNED_SIGNALS = frozenset({signal.SIGTERM, signal.SIGHUP})
ENDING_SIGNALS = frozenset({signal.SIGTERM, signal.SIGKILL, signal.SIGHUP})
"""Signals that explain an end; SIGHUP is recorded only before a process handles it."""
EXPECTED_ENDS = frozenset({0, -signal.SIGTERM, -signal.SIGKILL, -signal.SIGHUP})
LOG_TAIL_BYTES = 3000


class GatewayProcesses:
    """Starts gateways as processes, sends them signals and ends them.

    :param directory: Receives the settings and logs of the gateways.
    :param find_address: Returns a free ``ip:port``.
    :param faults: Records when a gateway is killed or paused.
    :param violations: Receives the processes that ended by themselves.
    """

    def __init__(
        self,
        *,
        rng: random.Random,
        directory: Path,
        find_address: Callable[[], str],
        faults: FaultLog,
        violations: list[Violation],
    ) -> None:
        self._rng = rng
        self._faults = faults
        self._violations = violations
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
        self._started_at: dict[int, float] = {}
        """Start of each process in monotonic seconds, by process id."""
        self._signals: dict[int, set[signal.Signals]] = {}
        """Signals that were sent to each process, by process id."""

    async def start(self, number: int) -> None:
        """Start a gateway; if its process has ended, check first why."""
        self.check_end(number)
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
            process = await asyncio.create_subprocess_exec(
                *(sys.executable, "-m", "cornellead.cli", "gateway"),
                *(f"--settings={path}", f"--metrics_port={metrics_address.rpartition(':')[2]}"),
                stdout=log,
                stderr=log,
                env=dict(os.environ),
            )
        self.processes[number] = process
        self._started_at[process.pid] = time.monotonic()
        self._signals[process.pid] = set()

    def started_at(self, number: int) -> float:
        """Return the start of a gateway's latest process in monotonic seconds."""
        process = self.processes[number]
        return self._started_at[process.pid] if process is not None else 0.0

    def is_running(self, number: int) -> bool:
        """Whether the process of a gateway has not ended; it may be paused."""
        process = self.processes[number]
        return process is not None and process.returncode is None

    def is_serving(self, number: int) -> bool:
        """Whether the process of a gateway runs and is not paused."""
        return self.is_running(number) and number not in self._stopped

    def is_unpaused(self, number: int) -> bool:
        """Whether no SIGSTOP holds a gateway, whether it runs or has ended."""
        return number not in self._stopped

    def is_ending(self, process: asyncio.subprocess.Process) -> bool:
        """Whether a process has ended or got a signal to end."""
        return process.returncode is not None or bool(self._signals[process.pid] & ENDING_SIGNALS)

    def was_suspended(self, number: int, since: float) -> bool:
        """Whether a gateway is paused, or was killed, paused or resumed since a time."""
        return number in self._stopped or self._faults.latest_of_gateway(number) >= since

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
        self.send_signal(number, sig)
        return f"gateway-{number} {sig.name}"

    def send_signal(self, number: int, sig: signal.Signals) -> None:
        """Send a signal to a gateway if its process has not ended."""
        process = self.processes[number]
        if process is None or process.returncode is not None:
            return
        young = time.monotonic() < self._started_at[process.pid] + START_S
        if sig is not signal.SIGHUP or young:
            self._signals[process.pid].add(sig)
        process.send_signal(sig)
        if sig not in PLANNED_SIGNALS:
            self._faults.record_gateway(number)
        if sig is signal.SIGSTOP:
            self._stopped.add(number)
        elif sig is signal.SIGCONT or sig is signal.SIGKILL:
            self._stopped.discard(number)

    def check_end(self, number: int) -> None:
        """Check that the last process of a gateway has not ended by itself."""
        process = self.processes[number]
        if process is None or process.returncode is None:
            return
        if self._signals[process.pid] & ENDING_SIGNALS and process.returncode in EXPECTED_ENDS:
            return
        log = (self._directory / f"gateway-{number}.log").read_bytes()
        detail = f"exit {process.returncode}: {log[-LOG_TAIL_BYTES:].decode(errors='replace')}"
        self._violations.append(Violation("own end", f"gateway-{number}", detail))

    def resume(self) -> None:
        """Let paused gateways go on."""
        self._stopped.clear()
        for number in range(GATEWAY_COUNT):
            self.send_signal(number, signal.SIGCONT)

    async def wait_for_stops(self) -> None:
        """Wait until the gateways that got SIGTERM have ended, for the grace period at most."""
        loop = asyncio.get_running_loop()
        kill_at = loop.time() + GRACE_S
        while any(map(self._is_stopping, range(GATEWAY_COUNT))) and loop.time() < kill_at:
            await asyncio.sleep(POLL_S)

    def _is_stopping(self, number: int) -> bool:
        process = self.processes[number]
        return (
            process is not None
            and process.returncode is None
            and signal.SIGTERM in self._signals[process.pid]
        )

    async def kill(self, number: int) -> None:
        """Kill the process of a gateway if it still runs."""
        process = self.processes[number]
        if process is not None and process.returncode is None:
            self.send_signal(number, signal.SIGKILL)
            await process.wait()
