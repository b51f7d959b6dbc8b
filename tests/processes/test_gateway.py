"""A gateway as a separate process, between a store, servers and callers."""

from __future__ import annotations

import asyncio
import os
import signal
import sys
from typing import TYPE_CHECKING

import msgspec
import pytest
from tests.platform_adapter import wire
from tests.platform_adapter.store_standin import StoreStandin
from tests.router.gateway.gateway_harness import read_answer
from tests.router.gateway.raw_server import RawServer

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from collections.abc import Callable
    from pathlib import Path

    from tests.router.gateway.gateway_harness import Answer
    from tests.router.gateway.raw_server import RawExchange

pytestmark = pytest.mark.processes

READY_WITHIN_S = 10.0
IN_FORCE_WITHIN_S = 2.0


class Fleet:
    """A store, two servers and one gateway process."""

    def __init__(self, find: Callable[[], str], folder: Path) -> None:
        self._find = find
        self._path = folder / "boot.json"
        self.store_address = find()
        self.store = StoreStandin(address=self.store_address)
        self.servers = [RawServer(self._answer) for _ in range(2)]
        self.front, self.ready = find(), find()
        self.slow_s = 0.0
        self.process: asyncio.subprocess.Process | None = None

    async def start(self) -> None:
        await self.store.start()
        for number, server in enumerate(self.servers):
            await server.start()
            self.store.put("keyed.servers", f"s{number}", self._entry(number))
        self.store.put("keyed.op", "config", self.config(7))
        await self.start_gateway()

    async def start_gateway(self) -> None:
        port = int(self._find().rpartition(":")[2])
        listen = {"front": self.front, "ready": self.ready}
        settings = wire.settings(
            self.store_address, listen=listen, internal_port_range=[port, port + 1]
        )
        self._path.write_bytes(msgspec.json.encode(settings))
        metrics = self._find().rpartition(":")[2]
        self.process = await asyncio.create_subprocess_exec(
            *(sys.executable, "-m", "cornellead.cli", "gateway"),
            *(f"--settings={self._path}", f"--metrics_port={metrics}"),
            stdout=asyncio.subprocess.PIPE,
            env=os.environ | {"PYTHONUNBUFFERED": "1"},
        )

    async def wait_ready(self, status: int = 200) -> None:
        async with asyncio.timeout(READY_WITHIN_S):
            while (await self._ask_ready()) != status:
                await asyncio.sleep(0.05)

    async def pay(self, *, key: str = "k1", path: str = "/pay/1") -> Answer:
        host, _, port = self.front.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        lines = f"POST {path} HTTP/1.1\r\nHost: box.example\r\nX-Request-Id: 7f\r\nX-Api-Key: {key}"
        writer.write(f"{lines}\r\nContent-Length: 3\r\n\r\npay".encode())
        answer = await read_answer(reader)
        writer.close()
        return answer

    async def logs(self) -> list[dict[str, object]]:
        """Wait for the end of the process and return its log lines."""
        assert self.process is not None and self.process.stdout is not None
        data = await self.process.stdout.read()
        await self.process.wait()
        return [msgspec.json.decode(line) for line in data.splitlines()]

    def drain(self, number: int) -> None:
        self.store.put("keyed.servers", f"s{number}", self._entry(number, state="draining"))

    async def stop(self) -> None:
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()
        for server in self.servers:
            server.stop()
        self.store.stop()

    def config(self, version: int, *, keys: tuple[str, ...] = ("k1",)) -> dict[str, object]:
        return wire.config(version, keys=keys)

    def _entry(self, number: int, **changes: object) -> dict[str, object]:
        return wire.server(self.servers[number].address, service="app", slots=6, **changes)

    async def _answer(self, exchange: RawExchange) -> None:
        await asyncio.sleep(self.slow_s)
        await exchange.send(exchange.sealed(200, b"paid"))

    async def _ask_ready(self) -> int:
        host, _, port = self.ready.rpartition(":")
        try:
            reader, writer = await asyncio.open_connection(host, int(port))
        except OSError:
            return 0
        writer.write(b"GET /v1/ready HTTP/1.1\r\nHost: x\r\n\r\n")
        answer = await read_answer(reader)
        writer.close()
        return answer.status


@pytest.fixture
async def fleet(free_address: Callable[[], str], tmp_path: Path) -> AsyncIterator[Fleet]:
    """Yield a running fleet."""
    fleet = Fleet(free_address, tmp_path)
    await fleet.start()
    yield fleet
    await fleet.stop()


async def test_changes_in_the_store_are_in_force_within_seconds(fleet: Fleet) -> None:
    """Guards against revoked keys and leaving servers that are used after the bound."""
    await fleet.wait_ready()
    assert (await fleet.pay()).body == b"paid"
    assert (await fleet.pay(key="k9")).status == 401
    fleet.store.put("keyed.op", "config", fleet.config(9, keys=("k9",)))
    fleet.drain(0)
    await asyncio.sleep(IN_FORCE_WITHIN_S)
    assert (await fleet.pay(key="k1")).status == 401
    before = len(fleet.servers[0].seen)
    for _ in range(6):
        assert (await fleet.pay(key="k9")).status == 200
    assert len(fleet.servers[0].seen) == before


async def test_outage_and_lost_history_of_the_store_change_nothing(fleet: Fleet) -> None:
    """Guards against a fleet that stops serving, or goes back, when the store is away."""
    await fleet.wait_ready()
    fleet.store.down = True
    await asyncio.sleep(1.5)
    assert (await fleet.pay()).status == 200
    for number in range(2):
        fleet.store.put("keyed.servers", f"s{number}", None)
    fleet.store.drop_history("keyed.op")
    fleet.store.put("keyed.op", "config", fleet.config(3, keys=("old",)))
    fleet.store.down = False
    await asyncio.sleep(1.0)
    assert (await fleet.pay()).status == 200
    assert (await fleet.pay(key="old")).status == 401


async def test_planned_stop_finishes_requests_and_then_exits(fleet: Fleet) -> None:
    """Guards against payments that are cut by a stop, and against a stop that never ends."""
    await fleet.wait_ready()
    fleet.slow_s = 1.0
    assert fleet.process is not None
    paying = asyncio.create_task(fleet.pay())
    await asyncio.sleep(0.2)
    fleet.process.send_signal(signal.SIGTERM)
    await fleet.wait_ready(503)
    assert (await fleet.pay()).status == 200
    assert (await paying).body == b"paid"
    lines = await asyncio.wait_for(fleet.logs(), 8.0)
    assert fleet.process.returncode == 0
    events = [line["event"] for line in lines]
    assert events[0] == "started" and events[-1] == "stopped"
    assert lines[-1]["cut_requests"] == 0
    requests = [line for line in lines if line["event"] == "request"]
    assert len(requests) == 2
    assert {"request", "attempts", "config", "config_age_s", "cause"} <= set(requests[0])


async def test_gateway_without_a_store_is_not_ready_and_refuses(
    fleet: Fleet, free_address: Callable[[], str]
) -> None:
    """Guards against rejecting keys for good by a gateway that knows no configuration."""
    await fleet.wait_ready()
    assert fleet.process is not None
    fleet.process.kill()
    await fleet.process.wait()
    fleet.store.down = True
    await fleet.start_gateway()
    await fleet.wait_ready(503)
    assert (await fleet.pay()).status == 503
    fleet.store.down = False
    await fleet.wait_ready()
    assert (await fleet.pay()).status == 200
