"""One seeded run: real gateways as processes, faults from outside, checks from outside."""

from __future__ import annotations

import asyncio
import os
import random
import signal
import sys
from collections import Counter
from typing import TYPE_CHECKING
from typing import NamedTuple

import msgspec
from tests.platform_adapter import wire
from tests.platform_adapter.store_standin import StoreStandin
from tests.router.gateway.gateway_harness import read_answer
from tests.router.gateway.raw_server import event
from tests.soak.fault_proxy import FaultProxy
from tests.soak.fault_proxy import Harm
from tests.soak.servers import EVENTS
from tests.soak.servers import RecordingServer
from tests.soak.servers import expected_body

if TYPE_CHECKING:
    from collections.abc import Callable
    from pathlib import Path

    from tests.router.gateway.gateway_harness import Answer

GATEWAYS = 3
SERVERS = 3
CALLERS = 6
CALM_S = 5.0
"""Time after the last fault in which all gateways must serve again."""
NOT_RUN = frozenset({408, 421, 429, 503})
WHOLE_STREAM = b"".join(event(number) for number in range(1, EVENTS + 1))


class Finding(NamedTuple):
    """A promise that was broken."""

    promise: str
    request: str
    detail: str


class Soak:
    """Runs a fleet under faults that follow from a seed.

    :param find: Returns a free ``ip:port``.
    :param seconds: Time with faults.
    """

    def __init__(self, *, seed: int, seconds: float, folder: Path, find: Callable[[], str]) -> None:
        self._rng = random.Random(seed)
        self._seconds = seconds
        self._folder = folder
        self._find = find
        self._runs: Counter[str] = Counter()
        self._once: set[str] = set()
        self._refused: set[str] = set()
        self._number = 0
        self.answers: Counter[int] = Counter()
        self.findings: list[Finding] = []
        self.faults: list[str] = []
        """Faults in order, for the report of a finding."""
        self._servers = [RecordingServer(runs=self._runs, rng=self._rng) for _ in range(SERVERS)]
        self._proxies: dict[str, FaultProxy] = {}
        self._fronts = [find() for _ in range(GATEWAYS)]
        self._ports = [(find(), find(), find()) for _ in range(GATEWAYS)]
        """Addresses of each gateway for readiness, for other gateways and for metrics."""
        self._processes: list[asyncio.subprocess.Process | None] = [None] * GATEWAYS

    async def run(self) -> list[Finding]:
        """Run and return the broken promises."""
        address = self._find()
        store = StoreStandin(address=address)
        await store.start()
        try:
            await self._start(store, address)
            callers = [asyncio.create_task(self._call_on()) for _ in range(CALLERS)]
            await self._inject(store)
            await self._heal(store)
            for caller in callers:
                caller.cancel()
            await asyncio.gather(*callers, return_exceptions=True)
            await self._check_recovery()
            self._check_runs()
        finally:
            await self._end(store)
        return self.findings

    async def _start(self, store: StoreStandin, address: str) -> None:
        for number, server in enumerate(self._servers):
            await server.raw.start()
            proxy = await self._proxy(f"server-{number}", server.raw.address)
            entry = wire.server(proxy.address, service="app", slots=6)
            store.put("keyed.servers", f"s{number}", entry)
        routes = [
            _route("once", "unsafe", max_attempts=1),
            _route("many", "safe", max_attempts=3),
            _route("stream", "streaming", max_attempts=3, stream_resume=True),
        ]
        store.put("keyed.op", "config", wire.config(7, keys=(), routes=routes))
        for number in range(GATEWAYS):
            await self._proxy(f"store-{number}", address)
            await self._start_gateway(number)
        await asyncio.sleep(1.5)

    async def _proxy(self, name: str, target: str) -> FaultProxy:
        proxy = FaultProxy(address=self._find(), target=target)
        await proxy.start()
        self._proxies[name] = proxy
        return proxy

    async def _start_gateway(self, number: int) -> None:
        ready, internal, metrics = self._ports[number]
        port = int(internal.rpartition(":")[2])
        settings = wire.settings(
            self._proxies[f"store-{number}"].address,
            node_name=f"front-{number}",
            listen={"front": self._fronts[number], "ready": ready},
            internal_port_range=[port, port],
        )
        path = self._folder / f"boot-{number}.json"
        path.write_bytes(msgspec.json.encode(settings))
        with (self._folder / f"gateway-{number}.log").open("ab") as log:
            self._processes[number] = await asyncio.create_subprocess_exec(
                *(sys.executable, "-m", "cornellead.cli", "gateway"),
                *(f"--settings={path}", f"--metrics_port={metrics.rpartition(':')[2]}"),
                stdout=log,
                env=dict(os.environ),
            )

    async def _inject(self, store: StoreStandin) -> None:
        loop = asyncio.get_running_loop()
        ends_at = loop.time() + self._seconds
        while loop.time() < ends_at:
            await asyncio.sleep(self._rng.uniform(0.1, 0.8))
            kind = self._rng.choice(["proxy", "proxy", "signal", "signal", "store", "servers"])
            if kind == "proxy":
                name = self._rng.choice(sorted(self._proxies))
                harm = self._rng.choice(list(Harm))
                self.faults.append(f"{name} {harm}")
                self._proxies[name].set_harm(harm)
            elif kind == "store":
                store.down = not store.down
                self.faults.append(f"store down={store.down}")
            elif kind == "servers":
                server = self._rng.choice(self._servers)
                server.failing = self._rng.choice([0.0, 0.2, 0.6])
                self.faults.append(f"servers failing={server.failing}")
            else:
                await self._signal(self._rng.randrange(GATEWAYS))

    async def _signal(self, number: int) -> None:
        process = self._processes[number]
        if process is None or process.returncode is not None:
            self.faults.append(f"gateway-{number} start")
            await self._start_gateway(number)
            return
        number_sent = self._rng.choice(
            [signal.SIGSTOP, signal.SIGCONT, signal.SIGKILL, signal.SIGTERM, signal.SIGHUP]
        )
        self.faults.append(f"gateway-{number} {number_sent.name}")
        process.send_signal(number_sent)

    async def _heal(self, store: StoreStandin) -> None:
        store.down = False
        for proxy in self._proxies.values():
            proxy.set_harm(Harm.NONE)
        for server in self._servers:
            server.failing = 0.0
        for number, process in enumerate(self._processes):
            if process is not None and process.returncode is None:
                process.send_signal(signal.SIGCONT)
                process.send_signal(signal.SIGKILL)
                await process.wait()
            await self._start_gateway(number)
        await asyncio.sleep(CALM_S)

    async def _call_on(self) -> None:
        while True:
            kind = self._rng.choice(["once", "many", "stream"])
            front = self._rng.choice(self._fronts)
            request = self._new_id(kind)
            answer = await self._call(front, kind, request)
            self._check(kind, request, answer)
            await asyncio.sleep(self._rng.uniform(0.0, 0.05))

    def _new_id(self, kind: str) -> str:
        self._number += 1
        request = f"{kind}{self._number:06d}"
        if kind == "once":
            self._once.add(request)
        return request

    async def _call(self, front: str, kind: str, request: str) -> Answer | None:
        host, _, port = front.rpartition(":")
        try:
            async with asyncio.timeout(3.0):
                reader, writer = await asyncio.open_connection(host, int(port))
                lines = f"POST /{kind}/x HTTP/1.1\r\nHost: box.example\r\nX-Request-Id: {request}"
                writer.write(
                    f"{lines}\r\nX-Deadline-Ms: 2500\r\nContent-Length: 0\r\n\r\n".encode()
                )
                answer = await read_answer(reader)
                writer.close()
                return answer
        except (OSError, TimeoutError):
            return None

    def _check(self, kind: str, request: str, answer: Answer | None) -> None:
        if answer is None or answer.status == 0:
            self.answers[0] += 1
            return
        self.answers[answer.status] += 1
        if answer.status in NOT_RUN:
            self._refused.add(request)
        if answer.status != 200 or not answer.whole:
            return
        expected = WHOLE_STREAM if kind == "stream" else expected_body(request)
        if answer.body != expected:
            self.findings.append(Finding("whole answer", request, repr(answer.body[:200])))

    async def _check_recovery(self) -> None:
        for front in self._fronts:
            answers = [await self._call(front, "many", self._new_id("many")) for _ in range(5)]
            served = sum(1 for answer in answers if answer is not None and answer.status == 200)
            if served < len(answers):
                self.findings.append(Finding("recovery", front, f"{served} of 5 served"))

    def _check_runs(self) -> None:
        for request in sorted(self._once):
            if self._runs[request] > 1:
                detail = f"{self._runs[request]} runs"
                self.findings.append(Finding("at most once", request, detail))
        for request in sorted(self._refused):
            if self._runs[request] and request in self._once:
                self.findings.append(Finding("not run", request, "was refused and ran"))

    async def _end(self, store: StoreStandin) -> None:
        for process in self._processes:
            if process is not None and process.returncode is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
                await process.wait()
        for proxy in self._proxies.values():
            proxy.stop()
        for server in self._servers:
            server.raw.stop()
        store.stop()


def _route(name: str, kind: str, **changes: object) -> dict[str, object]:
    route: dict[str, object] = {
        "name": name,
        "hostname": "box.example",
        "path_prefix": f"/{name}/",
        "kind": kind,
        "timeout_ms": 2500,
        "target_latency_ms": 200,
        "priority": 1,
        "service": "app",
        "public": True,
    }
    return route | changes
