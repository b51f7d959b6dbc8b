"""Soak run: gateway processes under random faults, checked by callers and servers."""

from __future__ import annotations

import asyncio
import os
import random
import signal
import sys
import time
from collections import Counter
from typing import TYPE_CHECKING

import msgspec
from tests.platform_adapter import payloads
from tests.platform_adapter.fake_store import FakeStore
from tests.router.gateway.scripted_server import encode_event
from tests.soak.config_series import MAX_CONFIG_DELAY_S
from tests.soak.config_series import ConfigSeries
from tests.soak.fault_proxy import Fault
from tests.soak.fault_proxy import FaultProxy
from tests.soak.requests import Violation
from tests.soak.requests import connect
from tests.soak.requests import exchange
from tests.soak.requests import make_route
from tests.soak.server_trouble import CRASHING_PART
from tests.soak.server_trouble import PROVOKED_REQUESTS
from tests.soak.server_trouble import PROVOKED_REQUESTS_INTERVAL_S
from tests.soak.server_trouble import SHARED_PART
from tests.soak.server_trouble import ServerTrouble
from tests.soak.server_trouble import prompt_header
from tests.soak.servers import COMMENT
from tests.soak.servers import EVENTS_PER_STREAM
from tests.soak.servers import RecordingServer
from tests.soak.servers import expected_body

if TYPE_CHECKING:
    from collections.abc import Callable
    from pathlib import Path

    from tests.router.gateway.gateway_harness import CallerResponse
    from tests.soak.requests import Streams

GATEWAY_COUNT = 3
SERVER_COUNT = 3
CALLER_COUNT = 6
REQUEST_TIMEOUT_S = 3.0
CATCH_UP_S = MAX_CONFIG_DELAY_S + 1.0
"""Time after the last fault in which gateways that still run have to catch up."""
START_S = 1.5
"""Time after which a started gateway serves."""
RECOVERY_S = 5.0
"""Time after the last fault in which all gateways have to serve again."""
STORE_BYTES_PER_S = 625_000.0
"""Rate at which gateways receive from the store: the slowest link of the deployments."""
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
"""Status codes by which a gateway promises that an unsafe request did not run."""
COMPLETE_STREAM = b"".join(encode_event(number) for number in range(1, EVENTS_PER_STREAM + 1))


class Soak:
    """Runs gateways, a store and servers under faults drawn from a seeded generator.

    Callers and servers draw from the same generator, so the faults of a seed vary with timing.

    :param duration_s: Time during which faults are injected.
    :param directory: Receives the settings and logs of the gateways.
    :param find_address: Returns a free ``ip:port``.
    """

    def __init__(
        self, *, seed: int, duration_s: float, directory: Path, find_address: Callable[[], str]
    ) -> None:
        self._rng = random.Random(seed)
        self._duration_s = duration_s
        self._directory = directory
        self._find_address = find_address
        self._runs: Counter[str] = Counter()
        self._unsafe_ids: set[str] = set()
        """Ids of requests that may run at most once."""
        self._refused_ids: set[str] = set()
        self._request_count = 0
        self.responses: Counter[int] = Counter()
        """Responses by status code; 0 when there was none."""
        self.violations: list[Violation] = []
        self.faults: list[str] = []
        """Injected faults in order."""
        self._servers = [
            RecordingServer(runs=self._runs, rng=self._rng) for _ in range(SERVER_COUNT)
        ]
        self._proxies: dict[str, FaultProxy] = {}
        self._caller_addresses = [find_address() for _ in range(GATEWAY_COUNT)]
        self._listen_addresses = [
            (find_address(), find_address(), find_address()) for _ in range(GATEWAY_COUNT)
        ]
        """Addresses of each gateway for readiness checks, other gateways and metrics."""
        self._processes: list[asyncio.subprocess.Process | None] = [None] * GATEWAY_COUNT
        self._stopped: set[int] = set()
        """Gateways that are paused by SIGSTOP, as far as the soak knows."""

    async def run(self) -> list[Violation]:
        """Run the soak and return the violations."""
        store = FakeStore(address=(address := self._find_address()))
        await store.start()
        routes = [
            make_route("many", "safe", max_attempts=3),
            make_route("once", "unsafe", max_attempts=1),
            make_route("stream", "streaming", max_attempts=3, stream_resume=True),
        ]
        configs = ConfigSeries(store=store, rng=self._rng, routes=routes)
        try:
            await self._start_fleet(store, address)
            callers = [asyncio.create_task(self._send_requests()) for _ in range(CALLER_COUNT)]
            callers += [
                asyncio.create_task(self._check_configs(number, configs, store))
                for number in range(GATEWAY_COUNT)
            ]
            await self._inject_faults(store, configs)
            await self._clear_faults(store, configs)
            for caller in callers:
                caller.cancel()
            await asyncio.gather(*callers, return_exceptions=True)
            await self._check_recovery(configs)
            await self._check_quarantine()
            self._check_runs()
        finally:
            await self._stop_all(store)
        return self.violations

    async def _start_fleet(self, store: FakeStore, address: str) -> None:
        for number, server in enumerate(self._servers):
            await server.http_server.start()
            proxy = await self._start_proxy(f"server-{number}", server.http_server.address)
            entry = payloads.server_entry(proxy.address, service="app", slots=6)
            store.put("keyed.servers", f"s{number}", entry)
        proxies = [self._proxies[f"server-{number}"] for number in range(SERVER_COUNT)]
        servers = list(zip(self._servers, proxies, strict=True))
        self._trouble = ServerTrouble(servers=servers, rng=self._rng)
        for number in range(GATEWAY_COUNT):
            proxy = await self._start_proxy(f"store-{number}", address)
            proxy.bytes_per_s = STORE_BYTES_PER_S
            await self._start_gateway(number)
        await asyncio.sleep(START_S)

    async def _start_proxy(self, name: str, target: str) -> FaultProxy:
        proxy = FaultProxy(address=self._find_address(), target=target)
        await proxy.start()
        self._proxies[name] = proxy
        return proxy

    async def _start_gateway(self, number: int) -> None:
        ready_address, internal_address, metrics_address = self._listen_addresses[number]
        port = int(internal_address.rpartition(":")[2])
        settings = payloads.node_settings(
            self._proxies[f"store-{number}"].address,
            node_name=f"front-{number}",
            listen={"front": self._caller_addresses[number], "ready": ready_address},
            internal_port_range=[port, port],
        )
        path = self._directory / f"boot-{number}.json"
        path.write_bytes(msgspec.json.encode(settings))
        with (self._directory / f"gateway-{number}.log").open("ab") as log:
            self._processes[number] = await asyncio.create_subprocess_exec(
                *(sys.executable, "-m", "cornellead.cli", "gateway"),
                *(f"--settings={path}", f"--metrics_port={metrics_address.rpartition(':')[2]}"),
                stdout=log,
                env=dict(os.environ),
            )

    async def _inject_faults(self, store: FakeStore, configs: ConfigSeries) -> None:
        loop = asyncio.get_running_loop()
        faults_end_at = loop.time() + self._duration_s
        while loop.time() < faults_end_at:
            await asyncio.sleep(self._rng.uniform(0.1, 0.8))
            kind = self._rng.choice(
                [*("proxy", "signal", "config") * 2, "store", "servers", "limit"]
            )
            if kind == "proxy":
                name = self._rng.choice(sorted(self._proxies))
                fault = self._rng.choice(list(Fault))
                self.faults.append(f"{name} {fault}")
                self._proxies[name].set_fault(fault)
                if name.startswith("store-"):
                    configs.record_disturbance(int(name.removeprefix("store-")))
            elif kind == "limit":
                self.faults.append(self._trouble.toggle_limit())
            elif kind == "config":
                self.faults.append(f"{configs.publish_series()} configurations")
            elif kind == "store":
                store.down = not store.down
                for number in range(GATEWAY_COUNT):
                    configs.record_disturbance(number)
                self.faults.append(f"store down={store.down}")
            elif kind == "servers":
                server = self._rng.choice(self._servers)
                server.failure_rate = self._rng.choice([0.0, 0.2, 0.6])
                self.faults.append(f"servers failing={server.failure_rate}")
            else:
                number = self._rng.randrange(GATEWAY_COUNT)
                configs.record_disturbance(number)
                await self._signal_gateway(number)

    async def _signal_gateway(self, number: int) -> None:
        process = self._processes[number]
        if process is None or process.returncode is not None:
            self.faults.append(f"gateway-{number} start")
            await self._start_gateway(number)
            return
        sig = self._rng.choice(
            [signal.SIGSTOP, signal.SIGCONT, signal.SIGKILL, signal.SIGTERM, signal.SIGHUP]
        )
        self.faults.append(f"gateway-{number} {sig.name}")
        process.send_signal(sig)
        if sig is signal.SIGSTOP:
            self._stopped.add(number)
        elif sig is signal.SIGCONT or sig is signal.SIGKILL:
            self._stopped.discard(number)

    async def _clear_faults(self, store: FakeStore, configs: ConfigSeries) -> None:
        store.down = False
        self._stopped.clear()
        for proxy in self._proxies.values():
            proxy.set_fault(Fault.NONE)
        self._trouble.clear()
        for server in self._servers:
            server.failure_rate = 0.0
        for number, process in enumerate(self._processes):
            if process is not None and process.returncode is None:
                process.send_signal(signal.SIGCONT)
            configs.record_disturbance(number)
        await asyncio.sleep(CATCH_UP_S)
        for number, process in enumerate(self._processes):
            if process is None or process.returncode is not None:
                await self._start_gateway(number)
                configs.record_disturbance(number)
        await asyncio.sleep(START_S)
        exceeded = await self._trouble.check_limit()
        if exceeded:
            self.violations.append(Violation("rate limit", "server-0", exceeded))
        await self._provoke_crashes()
        for number, process in enumerate(self._processes):
            if process is not None and process.returncode is None:
                process.send_signal(signal.SIGKILL)
                await process.wait()
            await self._start_gateway(number)
            configs.record_disturbance(number)
        await asyncio.sleep(RECOVERY_S)

    async def _send_requests(self) -> None:
        while True:
            kind = self._rng.choice(["once", "many", "stream"])
            caller_address = self._rng.choice(self._caller_addresses)
            request_id = self._new_request_id(kind)
            response = await self._send_request(caller_address, kind, request_id)
            self._check_response(kind, request_id, response)
            await asyncio.sleep(self._rng.uniform(0.0, 0.05))

    def _new_request_id(self, kind: str) -> str:
        self._request_count += 1
        request_id = f"{kind}{self._request_count:06d}"
        if kind == "once":
            self._unsafe_ids.add(request_id)
        return request_id

    async def _send_request(
        self, caller_address: str, kind: str, request_id: str, *, prompt: str = ""
    ) -> CallerResponse | None:
        if kind == "stream" and not prompt:
            prompt = self._trouble.choose_prompt(self._request_count)
        try:
            async with asyncio.timeout(REQUEST_TIMEOUT_S):
                streams = await connect(caller_address)
                response = await exchange(streams, kind, request_id, prompt)
                streams[1].close()
                return response
        except (OSError, TimeoutError):
            return None

    def _check_response(self, kind: str, request_id: str, response: CallerResponse | None) -> None:
        if response is None or response.status == 0:
            self.responses[0] += 1
            return
        self.responses[response.status] += 1
        if response.status in NOT_RUN_STATUSES:
            self._refused_ids.add(request_id)
        if response.status != 200:
            return
        expected = COMPLETE_STREAM if kind == "stream" else expected_body(request_id)
        body = response.body.replace(COMMENT, b"")
        if body != expected[: len(body)] or (response.complete and body != expected):
            self.violations.append(
                Violation("complete response", request_id, repr(response.body[:200]))
            )

    def _is_disturbed(self, number: int, store: FakeStore) -> bool:
        process = self._processes[number]
        return (
            store.down
            or number in self._stopped
            or process is None
            or process.returncode is not None
            or self._proxies[f"store-{number}"].fault is not Fault.NONE
        )

    async def _check_configs(self, number: int, configs: ConfigSeries, store: FakeStore) -> None:
        """Send requests on added routes to a gateway, on one connection while it stays open."""
        streams: Streams | None = None
        while True:
            await asyncio.sleep(self._rng.uniform(0.02, 0.06))
            if self._is_disturbed(number, store):
                configs.record_disturbance(number)
            route, process = configs.choose(), self._processes[number]
            if route is None or process is None:
                continue
            sent_at = time.monotonic()
            try:
                async with asyncio.timeout(REQUEST_TIMEOUT_S):
                    streams = streams or await connect(self._caller_addresses[number])
                    response = await exchange(streams, route.name, self._new_request_id("many"))
            except (OSError, TimeoutError):
                response = None
            if response is None or not response.complete or "close" in response.head.lower():
                if streams is not None:
                    streams[1].close()
                streams = None
            if response is None or self._processes[number] is not process:
                continue
            detail = configs.find_violation(
                number, process.pid, route, response.status, sent_at=sent_at
            )
            if detail:
                address = self._caller_addresses[number]
                self.violations.append(Violation("configuration", address, detail))

    async def _check_recovery(self, configs: ConfigSeries) -> None:
        for address in self._caller_addresses:
            newest = configs.newest
            response = await self._send_request(
                address, newest.name if newest else "many", self._new_request_id("many")
            )
            if response is None or response.status != 200:
                self.violations.append(Violation("newest configuration", address, str(response)))
        for address in self._caller_addresses:
            responses = [
                await self._send_request(address, "many", self._new_request_id("many"))
                for _ in range(5)
            ]
            success_count = sum(
                1 for response in responses if response is not None and response.status == 200
            )
            if success_count < len(responses):
                self.violations.append(
                    Violation("recovery", address, f"{success_count} of 5 served")
                )

    async def _provoke_crashes(self) -> None:
        """Send requests with the crashing part to the gateways in turn, enough for a quarantine."""
        prompt = prompt_header([SHARED_PART, "b1", CRASHING_PART, "own"])
        for number in range(PROVOKED_REQUESTS):
            address = self._caller_addresses[number % GATEWAY_COUNT]
            request_id = self._new_request_id("stream")
            await self._send_request(address, "stream", request_id, prompt=prompt)
            await asyncio.sleep(PROVOKED_REQUESTS_INTERVAL_S)

    async def _check_quarantine(self) -> None:
        """Check after a restart of all gateways that none sends what crashed many servers."""
        expected = {
            prompt_header([SHARED_PART, "b1", "own"]): 200,
            prompt_header([SHARED_PART, "b1", CRASHING_PART, "own"]): 503,
        }
        for address in self._caller_addresses:
            for prompt, status in expected.items():
                request_id = self._new_request_id("stream")
                response = await self._send_request(address, "stream", request_id, prompt=prompt)
                if response is None or response.status != status:
                    detail = f"{prompt}: {response and response.status}, not {status}"
                    self.violations.append(Violation("quarantine", address, detail))

    def _check_runs(self) -> None:
        for request_id in sorted(self._unsafe_ids):
            if self._runs[request_id] > 1:
                detail = f"{self._runs[request_id]} runs"
                self.violations.append(Violation("at most once", request_id, detail))
        for request_id in sorted(self._refused_ids):
            if self._runs[request_id] and request_id in self._unsafe_ids:
                self.violations.append(Violation("not run", request_id, "was refused and ran"))

    async def _stop_all(self, store: FakeStore) -> None:
        for process in self._processes:
            if process is not None and process.returncode is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
                await process.wait()
        for proxy in self._proxies.values():
            proxy.stop()
        for server in self._servers:
            server.http_server.stop()
        store.stop()
