"""Soak run: gateway processes under random faults, checked by callers and servers."""

from __future__ import annotations

import asyncio
import random
from collections import Counter
from typing import TYPE_CHECKING

from tests.platform_adapter.fake_store import FakeStore
from tests.soak.callers import Callers
from tests.soak.config_callers import ConfigCallers
from tests.soak.config_series import MAX_CONFIG_DELAY_S
from tests.soak.config_series import ConfigSeries
from tests.soak.fault_log import FaultLog
from tests.soak.fault_proxy import Fault
from tests.soak.fault_proxy import FaultProxy
from tests.soak.flooding_peers import ROUTE as FLOOD_ROUTE
from tests.soak.flooding_peers import SERVICE as FLOOD_SERVICE
from tests.soak.flooding_peers import FloodingPeers
from tests.soak.gateway_processes import GATEWAY_COUNT
from tests.soak.gateway_processes import START_S
from tests.soak.gateway_processes import GatewayProcesses
from tests.soak.kept_callers import KeptCallers
from tests.soak.leaving_servers import LeavingServers
from tests.soak.leaving_servers import SoakServer
from tests.soak.loop_delays import LoopDelays
from tests.soak.odd_entries import OddEntries
from tests.soak.planned_work import PlannedWork
from tests.soak.recovery_check import RecoveryCheck
from tests.soak.requests import Violation
from tests.soak.requests import make_route
from tests.soak.restored_store import RestoredStore
from tests.soak.server_notices import ServerNotices
from tests.soak.server_trouble import CRASHING_SHARE
from tests.soak.server_trouble import ServerTrouble
from tests.soak.servers import RecordingServer
from tests.soak.silent_servers import SilentServers

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable
    from pathlib import Path

SERVER_COUNT = 3
CALLER_COUNT = 6
IDLE_CALLERS = 4
"""Callers of each gateway that reuse connections after long idle times."""
PLANNED_ROUNDS = 2
"""Rounds of planned stops after the last fault."""
CATCH_UP_S = MAX_CONFIG_DELAY_S + 1.0
"""Time after the last fault in which gateways that still run have to catch up."""
RECOVERY_S = 5.0
"""Time after the last fault in which all gateways have to serve again."""
STORE_BYTES_PER_S = 625_000.0
"""Rate at which gateways receive from the store: the slowest link of the deployments."""


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
        self._find_address = find_address
        self._runs: Counter[str] = Counter()
        self._faults_seen = FaultLog()
        self.violations: list[Violation] = []
        self.faults: list[str] = []
        """Injected faults in order."""
        self._servers = [
            RecordingServer(runs=self._runs, rng=self._rng) for _ in range(SERVER_COUNT)
        ]
        self._proxies: dict[str, FaultProxy] = {}
        self._gateways = GatewayProcesses(
            rng=self._rng,
            directory=directory,
            find_address=find_address,
            faults=self._faults_seen,
            violations=self.violations,
        )
        addresses = self._gateways.caller_addresses
        self.notices = ServerNotices(
            was_restarted=self._was_restarted,
            was_disturbed=self._was_disturbed,
            violations=self.violations,
        )
        self._callers = Callers(
            rng=self._rng,
            runs=self._runs,
            addresses=addresses,
            notices=self.notices,
            violations=self.violations,
        )
        self._recovery = RecoveryCheck(
            callers=self._callers, addresses=addresses, violations=self.violations
        )
        self._store_address = find_address()
        self._store = FakeStore(address=self._store_address)
        routes = [
            make_route("many", "safe", max_attempts=3),
            make_route("once", "unsafe", max_attempts=1),
            make_route("stream", "streaming", max_attempts=3, stream_resume=True),
            make_route(FLOOD_ROUTE, "streaming", max_attempts=1, service=FLOOD_SERVICE),
        ]
        self._configs = ConfigSeries(store=self._store, rng=self._rng, routes=routes)
        self.delays = LoopDelays()
        self._kept_callers = KeptCallers(
            rng=self._rng,
            runs=self._runs,
            callers=self._callers,
            delays=self.delays,
            gateways=self._gateways,
            configs=self._configs,
            was_calm=self._was_calm,
            violations=self.violations,
        )
        self._floods = FloodingPeers(
            rng=self._rng,
            store=self._store,
            callers=self._callers,
            addresses=addresses,
            violations=self.violations,
        )
        self._odd_entries = OddEntries(store=self._store, rng=self._rng)
        self._restored_store = RestoredStore(
            store=self._store, rng=self._rng, on_disturbance=self._disturb_all
        )
        self._planned_work = PlannedWork(
            rng=self._rng,
            gateways=self._gateways,
            configs=self._configs,
            violations=self.violations,
        )

    @property
    def responses(self) -> Counter[int]:
        """Responses by status code; 0 when there was none."""
        return self._callers.responses

    @property
    def calm_requests(self) -> int:
        """Requests on kept connections without a fault on their path."""
        return self._kept_callers.checked

    @property
    def reused_connections(self) -> int:
        """Requests on kept connections after idle times within the idle timeout."""
        return self._kept_callers.reused

    async def run(self) -> list[Violation]:
        """Run the soak and return the violations."""
        await self._store.start()
        measuring = asyncio.create_task(self.delays.run())
        try:
            await self._start_fleet()
            callers = self._start_callers()
            await self._inject_faults()
            await self._clear_faults()
            for caller in callers:
                caller.cancel()
            await asyncio.gather(*callers, return_exceptions=True)
            newest = self._configs.newest
            await self._recovery.check_serving(newest.name if newest else "many")
            await self._recovery.check_quarantine()
            self._callers.check_runs()
        finally:
            measuring.cancel()
            await self._stop_all()
        return self.violations

    async def _start_fleet(self) -> None:
        for number, server in enumerate(self._servers):
            await server.http_server.start()
            await self._start_proxy(f"server-{number}", server.http_server.address)
        proxies = [self._proxies[f"server-{number}"] for number in range(SERVER_COUNT)]
        servers = list(zip(self._servers, proxies, strict=True))
        self._trouble = ServerTrouble(servers=servers, rng=self._rng)
        self._trouble.on_crash = self._faults_seen.record_servers
        names = [f"server-{number}" for number in range(SERVER_COUNT)]
        self._leaving = LeavingServers(
            rng=self._rng,
            store=self._store,
            servers=[
                SoakServer(*parts) for parts in zip(names, self._servers, proxies, strict=True)
            ],
            trouble=self._trouble,
            notices=self.notices,
        )
        self._silence = SilentServers(
            rng=self._rng, proxies=proxies, callers=self._callers, violations=self.violations
        )
        self._floods.start()
        for number in range(GATEWAY_COUNT):
            proxy = await self._start_proxy(f"store-{number}", self._store_address)
            proxy.bytes_per_s = STORE_BYTES_PER_S
            self._gateways.store_addresses[number] = proxy.address
            await self._gateways.start(number)
        await asyncio.sleep(START_S)

    async def _start_proxy(self, name: str, target: str) -> FaultProxy:
        proxy = FaultProxy(address=self._find_address(), target=target)
        await proxy.start()
        self._proxies[name] = proxy
        return proxy

    def _start_callers(self) -> list[asyncio.Task[None]]:
        choose_prompt = self._trouble.choose_prompt
        config_callers = ConfigCallers(
            rng=self._rng,
            callers=self._callers,
            gateways=self._gateways,
            configs=self._configs,
            is_disturbed=self._is_disturbed,
            violations=self.violations,
        )
        tasks = [
            asyncio.create_task(self._callers.send_requests(choose_prompt=choose_prompt))
            for _ in range(CALLER_COUNT)
        ]
        for number in range(GATEWAY_COUNT):
            tasks.append(asyncio.create_task(config_callers.check_configs(number)))
            tasks.append(asyncio.create_task(self._kept_callers.send_requests(number)))
            for _ in range(IDLE_CALLERS):
                send = self._kept_callers.send_after_idle_times(number)
                tasks.append(asyncio.create_task(send))
        return tasks

    async def _inject_faults(self) -> None:
        frequent: list[Callable[[], Awaitable[str]]] = [
            self._set_proxy_fault,
            self._signal_gateway,
            self._publish_configs,
            self._odd_entries.inject,
            self._silence.inject,
            self._planned_work.inject,
            self._leaving.let_leave,
            self._leaving.ask_for_pause,
            self._floods.inject,
        ]
        rare: list[Callable[[], Awaitable[str]]] = [
            self._toggle_store,
            self._restored_store.inject,
            self._fail_server,
            self._toggle_limit,
        ]
        kinds = [*frequent * 2, *rare]
        loop = asyncio.get_running_loop()
        faults_end_at = loop.time() + self._duration_s
        while loop.time() < faults_end_at:
            await asyncio.sleep(self._rng.uniform(0.1, 0.8))
            inject = self._rng.choice(kinds)
            self.faults.append(await inject())

    async def _set_proxy_fault(self) -> str:
        name = self._rng.choice(sorted(self._proxies))
        fault = self._rng.choice(list(Fault))
        self._proxies[name].set_fault(fault)
        if name.startswith("store-"):
            self._configs.record_disturbance(int(name.removeprefix("store-")))
        else:
            self._faults_seen.record_servers()
        return f"{name} {fault}"

    async def _signal_gateway(self) -> str:
        number = self._gateways.choose()
        self._configs.record_disturbance(number)
        return await self._gateways.signal_or_start(number)

    async def _publish_configs(self) -> str:
        return f"{self._configs.publish_series()} configurations"

    async def _toggle_store(self) -> str:
        self._store.down = not self._store.down
        self._disturb_all()
        return f"store down={self._store.down}"

    def _disturb_all(self) -> None:
        for number in range(GATEWAY_COUNT):
            self._configs.record_disturbance(number)

    async def _fail_server(self) -> str:
        server = self._rng.choice(self._servers)
        server.failure_rate = self._rng.choice([0.0, 0.2, 0.6])
        self._faults_seen.record_servers()
        return f"servers failing={server.failure_rate}"

    async def _toggle_limit(self) -> str:
        return self._trouble.toggle_limit()

    async def _clear_faults(self) -> None:
        await self._floods.finish()
        self._store.down = False
        for proxy in self._proxies.values():
            proxy.set_fault(Fault.NONE)
        self._trouble.clear()
        self._trouble.crashing_share = 0.0
        self._leaving.finish()
        self._odd_entries.clear()
        for server in self._servers:
            server.failure_rate = 0.0
        self._faults_seen.record_servers()
        self._gateways.resume()
        self._disturb_all()
        await asyncio.sleep(CATCH_UP_S)
        await self._gateways.wait_for_stops()
        await self._start_ended()
        await self._check_calm()
        self._trouble.crashing_share = CRASHING_SHARE
        exceeded = await self._trouble.check_limit()
        if exceeded:
            self.violations.append(Violation("rate limit", "server-0", exceeded))
        await self._recovery.provoke_crashes()
        for number in range(GATEWAY_COUNT):
            await self._gateways.kill(number)
            await self._gateways.start(number)
            self._configs.record_disturbance(number)
        await asyncio.sleep(RECOVERY_S)

    async def _check_calm(self) -> None:
        """Check silent servers, planned stops and odd entries while there is no other fault."""
        for address in self._gateways.caller_addresses:
            await self._silence.check(address)
        await self._floods.check()
        for _ in range(PLANNED_ROUNDS):
            numbers = self._rng.sample(range(GATEWAY_COUNT), self._rng.randint(1, GATEWAY_COUNT))
            await self._silence.inject()
            self.faults.append(await self._planned_work.check(numbers))
            await self._start_ended()
        await self._odd_entries.put_all()
        await self._start_ended()

    async def _start_ended(self) -> None:
        for number in range(GATEWAY_COUNT):
            if not self._gateways.is_running(number):
                await self._gateways.start(number)
                self._configs.record_disturbance(number)
        await asyncio.sleep(START_S)

    def _was_calm(self, number: int, since: float) -> bool:
        """Whether since a time no fault was on the paths of requests through a gateway."""
        return not (
            self._faults_seen.latest(number) >= since
            or self._trouble.has_crashed
            or not self._gateways.is_unpaused(number)
            or any(server.failure_rate for server in self._servers)
            or any(
                proxy.fault is not Fault.NONE
                for name, proxy in self._proxies.items()
                if name.startswith("server-")
            )
        )

    def _was_restarted(self, address: str, since: float) -> bool:
        number = self._gateways.caller_addresses.index(address)
        return (
            self._gateways.started_at(number) >= since
            or self._faults_seen.latest_of_gateway(number) >= since
        )

    def _was_disturbed(self, address: str, server: str, since: float) -> bool:
        """Whether a fault was on the path between a gateway and a server since a time."""
        number = self._gateways.caller_addresses.index(address)
        proxy = self._proxies[server]
        return (
            self._faults_seen.latest(number) >= since
            or proxy.fault is not Fault.NONE
            or proxy.paused_at >= since
            or proxy.paused
        )

    def _is_disturbed(self, number: int) -> bool:
        return (
            self._store.down
            or not self._gateways.is_serving(number)
            or self._proxies[f"store-{number}"].fault is not Fault.NONE
        )

    async def _stop_all(self) -> None:
        await self._floods.stop()
        self._gateways.resume()
        for number in range(GATEWAY_COUNT):
            await self._gateways.kill(number)
            self._gateways.check_end(number)
        for proxy in self._proxies.values():
            proxy.stop()
        for server in self._servers:
            server.http_server.stop()
        self._store.stop()
