"""Gateway as a separate process, with a fake store, backend servers and callers."""

from __future__ import annotations

import asyncio
import contextlib
import signal
from pathlib import Path
from typing import TYPE_CHECKING

import pytest
from tests.platform_adapter.odd_records import NESTED
from tests.platform_adapter.odd_records import odd_entries
from tests.processes.gateway_fleet import APPLY_LIMIT_S
from tests.processes.gateway_fleet import GatewayFleet

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from collections.abc import Callable

    from tests.router.gateway.scripted_server import Script
    from tests.router.gateway.scripted_server import ScriptedExchange

pytestmark = pytest.mark.processes

ENDLESS_REQUESTS = 370
SLOW_CALLERS = 100
HOST_MEMORY_BYTES = 200 << 20
"""Memory of the smallest hosts."""


@pytest.fixture
async def fleet(free_address: Callable[[], str], tmp_path: Path) -> AsyncIterator[GatewayFleet]:
    """Yield a fleet whose gateway process is started, but may not be ready yet."""
    fleet = GatewayFleet(free_address, tmp_path)
    await fleet.start()
    yield fleet
    await fleet.stop()


async def test_store_changes_apply_in_time(fleet: GatewayFleet) -> None:
    """Guards against using revoked keys and draining servers longer than `APPLY_LIMIT_S`."""
    await fleet.wait_readiness()
    assert (await fleet.send_payment()).body == b"paid"
    assert (await fleet.send_payment(key="k9")).status == 401
    fleet.store.put("keyed.op", "config", fleet.config(9, keys=("k9",)))
    fleet.set_draining(0)
    await asyncio.sleep(APPLY_LIMIT_S)
    assert (await fleet.send_payment(key="k1")).status == 401
    before = len(fleet.servers[0].received)
    for _ in range(6):
        assert (await fleet.send_payment(key="k9")).status == 200
    assert len(fleet.servers[0].received) == before


async def test_store_outage_and_expired_records_keep_last_state(fleet: GatewayFleet) -> None:
    """Guards against a gateway that stops serving or goes back to an older configuration.

    During the outage the servers are removed, the records of the configuration expire, and an
    older configuration is written.
    """
    await fleet.wait_readiness()
    # The next read confirms the configuration; it is under way when the outage begins.
    await asyncio.sleep(0.1)
    fleet.store.down = True
    await asyncio.sleep(1.5)
    assert (await fleet.send_payment()).status == 200
    for number in range(2):
        fleet.store.put("keyed.servers", f"s{number}", None)
    fleet.store.expire_records("keyed.op")
    fleet.store.put("keyed.op", "config", fleet.config(3, keys=("old",)))
    fleet.store.down = False
    await asyncio.sleep(1.0)
    assert (await fleet.send_payment()).status == 200
    assert (await fleet.send_payment(key="old")).status == 401


async def test_planned_stop_finishes_requests_before_exit(fleet: GatewayFleet) -> None:
    """Guards against a planned stop that cuts requests in progress or never ends."""
    await fleet.wait_readiness()
    fleet.response_delay_s = 1.0
    assert fleet.process is not None
    payment = asyncio.create_task(fleet.send_payment())
    await asyncio.sleep(0.2)
    fleet.process.send_signal(signal.SIGTERM)
    await fleet.wait_readiness(503)
    assert (await fleet.send_payment()).status == 200
    assert (await payment).body == b"paid"
    lines = await asyncio.wait_for(fleet.read_logs_until_exit(), 8.0)
    assert fleet.process.returncode == 0
    events = [line["event"] for line in lines]
    assert events[0] == "started" and events[-1] == "stopped"
    assert lines[-1]["cut_requests"] == 0
    requests = [line for line in lines if line["event"] == "request"]
    assert len(requests) == 2
    assert {"request", "attempts", "config", "config_age_s", "cause"} <= set(requests[0])


async def test_gateway_without_configuration_is_not_ready(
    fleet: GatewayFleet, free_address: Callable[[], str]
) -> None:
    """Guards against a gateway that rejects valid keys while it has no configuration.

    A caller retries after a 503, but treats a 401 as final.
    """
    await fleet.wait_readiness()
    assert fleet.process is not None
    fleet.process.kill()
    await fleet.process.wait()
    fleet.store.down = True
    await fleet.start_gateway()
    await fleet.wait_readiness(503)
    assert (await fleet.send_payment()).status == 503
    fleet.store.down = False
    await fleet.wait_readiness()
    assert (await fleet.send_payment()).status == 200


async def test_payment_in_progress_is_answered_beside_odd_entries(fleet: GatewayFleet) -> None:
    """Guards against a gateway that ends when another writer leaves an odd entry."""
    await fleet.wait_readiness()
    fleet.response_delay_s = 1.2
    payment = asyncio.create_task(fleet.send_payment())
    await asyncio.sleep(0.2)
    for key, value in odd_entries().items():
        fleet.store.put_raw("keyed.servers", key, value)
    fleet.store.put_raw("keyed.op", "config", NESTED)
    fleet.store.put_raw("keyed.routers", "r9", b'["10.0.0.9:99999","kgl-a",1]')
    fleet.store.put_raw("keyed.routers", "part/x", NESTED)
    assert (await payment).body == b"paid"
    fleet.response_delay_s = 0.0
    fleet.store.put("keyed.op", "config", fleet.config(9, keys=("k9",)))
    await asyncio.sleep(APPLY_LIMIT_S)
    assert (await fleet.send_payment(key="k9")).status == 200
    assert fleet.process is not None and fleet.process.returncode is None


async def test_gateway_starts_with_odd_entries_in_the_store(fleet: GatewayFleet) -> None:
    """Guards against a gateway that ends at each start until an odd entry is gone."""
    await fleet.wait_readiness()
    assert fleet.process is not None
    fleet.process.kill()
    await fleet.process.wait()
    for key, value in odd_entries().items():
        fleet.store.put_raw("keyed.servers", key, value)
    await fleet.start_gateway()
    await fleet.wait_readiness()
    assert (await fleet.send_payment()).status == 200


@pytest.mark.parametrize("grace_s", [1.0, 4.0])
async def test_silent_store_does_not_outlast_the_grace_time(
    fleet: GatewayFleet, grace_s: float
) -> None:
    """Guards against a process that is killed at the end of the grace time, since it waits for the
    store after its last request."""
    fleet.store.put("keyed.op", "config", fleet.config(9, timeout_ms=20_000))
    await fleet.restart_gateway(grace_s=grace_s)
    assert fleet.process is not None
    fleet.response_delay_s = 30.0
    payment = asyncio.create_task(fleet.send_payment())
    await asyncio.sleep(0.2)
    fleet.store.silent = True
    fleet.process.send_signal(signal.SIGTERM)
    try:
        lines = await asyncio.wait_for(fleet.read_logs_until_exit(), grace_s)
    except TimeoutError:
        # A process that has ended, and whose end this test has not noticed, has the state Z.
        state = Path(f"/proc/{fleet.process.pid}/stat").read_text().split()[2]
        pytest.fail(f"state {state} at the end of the grace time, log: {fleet.read_logs()[-3:]}")
    assert fleet.process.returncode == 0
    assert lines[-1]["event"] == "stopped"
    assert (await payment).status == 504


async def test_series_of_signals_is_one_planned_stop(fleet: GatewayFleet) -> None:
    """Guards against a stop that is cut short or starts again because of a further signal."""
    await fleet.wait_readiness()
    assert fleet.process is not None
    fleet.response_delay_s = 1.0
    payment = asyncio.create_task(fleet.send_payment())
    await asyncio.sleep(0.2)
    for signum in (signal.SIGHUP, signal.SIGTERM, signal.SIGHUP, signal.SIGTERM, signal.SIGINT):
        fleet.process.send_signal(signum)
        await asyncio.sleep(0.1)
    fleet.store.put("keyed.op", "config", fleet.config(9, keys=("k9",)))
    assert (await payment).body == b"paid"
    lines = await asyncio.wait_for(fleet.read_logs_until_exit(), 8.0)
    assert fleet.process.returncode == 0
    phases = [line["phase"] for line in lines if line["event"] == "planned stop"]
    assert phases == ["leaving", "refusing", "closing"]
    assert lines[-1]["cut_requests"] == 0


@pytest.mark.parametrize("delay_s", [0.05, 0.15, 0.3, 0.45, 0.6])
async def test_stop_during_the_start_ends_the_process(fleet: GatewayFleet, delay_s: float) -> None:
    """Guards against a process that misses a stop, or fails with an error, while it starts."""
    await fleet.wait_readiness()
    assert fleet.process is not None
    fleet.process.kill()
    await fleet.process.wait()
    await fleet.start_gateway()
    await asyncio.sleep(delay_s)
    fleet.process.send_signal(signal.SIGTERM)
    await asyncio.wait_for(fleet.process.wait(), 8.0)
    assert fleet.process.returncode in (0, -signal.SIGTERM)


async def _send_long_event(exchange: ScriptedExchange) -> None:
    await exchange.begin_stream()
    await exchange.send_chunk(b"id: 1\ndata: ")
    for _ in range(15):
        await exchange.send_chunk(b"a" * 60_000)
        await asyncio.sleep(0.05)


def _read_peak_bytes(pid: int) -> int:
    status = Path(f"/proc/{pid}/status").read_text()
    return int(status.partition("VmHWM:")[2].split()[0]) << 10


async def _send_long_head(exchange: ScriptedExchange) -> None:
    await exchange.send(b"HTTP/1.1 200 OK\r\n" + b"a:b\r\n" * 12_000)


@pytest.mark.parametrize("send", [_send_long_event, _send_long_head])
async def test_bytes_without_end_leave_room_in_memory(fleet: GatewayFleet, send: Script) -> None:
    """Guards against a process that is killed at the limit of its host's memory (issue 35)."""

    async def send_and_wait(exchange: ScriptedExchange) -> None:
        await send(exchange)
        await exchange.disconnected.wait()

    for server in fleet.servers:
        server.script = send_and_wait
    config = fleet.config(9, timeout_ms=4000)
    for route in config["routes"]:
        route["kind"] = "streaming"
    await fleet.wait_readiness()
    fleet.store.put("keyed.op", "config", config)
    await asyncio.sleep(APPLY_LIMIT_S)
    calls = [fleet.send_payment() for _ in range(ENDLESS_REQUESTS)]
    responses = await asyncio.gather(*calls)
    assert not any(response.complete and response.status == 200 for response in responses)
    assert sum(len(server.received) for server in fleet.servers) >= ENDLESS_REQUESTS
    assert fleet.process is not None and fleet.process.returncode is None
    assert _read_peak_bytes(fleet.process.pid) < HOST_MEMORY_BYTES
    fleet.process.terminate()
    events = [line["event"] for line in await fleet.read_logs_until_exit()]
    assert events.count("request") == ENDLESS_REQUESTS


async def test_slow_bodies_leave_room_in_memory(fleet: GatewayFleet) -> None:
    """Guards against a process that many slow callers run out of memory (issue 38)."""
    await fleet.wait_readiness()
    body = b"a" * (4_194_304 - 1)
    head = b"POST /pay/1 HTTP/1.1\r\nHost: keyed\r\nContent-Length: 4194304\r\n\r\n"
    host, _, port = fleet.caller_address.rpartition(":")
    writers = []
    for _ in range(SLOW_CALLERS):
        _, writer = await asyncio.open_connection(host, int(port))
        writer.write(head + body)
        with contextlib.suppress(ConnectionError):
            await writer.drain()
        writers.append(writer)
    await asyncio.sleep(1.0)
    assert fleet.process is not None and fleet.process.returncode is None
    assert _read_peak_bytes(fleet.process.pid) < HOST_MEMORY_BYTES
    assert (await fleet.send_payment()).status == 200
    for writer in writers:
        writer.transport.abort()
