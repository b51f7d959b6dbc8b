"""A gateway process before callers that send requests without end and read no response."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import pytest
from tests.processes.gateway_fleet import APPLY_LIMIT_S
from tests.processes.gateway_fleet import GatewayFleet
from tests.processes.unread import UnreadCallers
from tests.processes.unread import count_descriptors
from tests.processes.unread import read_resident_bytes

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from collections.abc import Callable
    from pathlib import Path

pytestmark = pytest.mark.processes

MEMORY_MB = 152
"""Memory of the smallest hosts."""
MAX_RESIDENT_BYTES = 110 << 20
"""What a calm process uses, and the budget of callers on such a host."""
MAX_DESCRIPTORS = 300
LIMITS = {"memory_mb": MEMORY_MB, "max_fds": MAX_DESCRIPTORS}
FLOOD_S = 8.0
SAMPLE_S = 0.1
LONG_ID = b"f" * 4000
WITHOUT_HEADERS = b"GET /plan/1 HTTP/1.1\r\n\r\n"
READY = b"GET /v1/ready HTTP/1.1\r\n\r\n"
WITHOUT_ROUTE = b"GET /none HTTP/1.1\r\nHost: box.example\r\nX-Request-Id: " + LONG_ID + b"\r\n\r\n"
SAFE = b"GET /safe/1 HTTP/1.1\r\nHost: box.example\r\nX-Request-Id: 7f%d\r\nX-Api-Key: k1\r\n\r\n"
LARGE_RESPONSE = b"r" * 60_000
BODY_BYTES = 4 << 20
LARGE_REQUEST = (
    b"POST /pay/1 HTTP/1.1\r\nHost: box.example\r\nX-Request-Id: 7f\r\nX-Api-Key: k1\r\n"
    b"Content-Length: %d\r\n\r\n" % BODY_BYTES
) + b"b" * BODY_BYTES


@pytest.fixture
async def fleet(free_address: Callable[[], str], tmp_path: Path) -> AsyncIterator[GatewayFleet]:
    """Yield a fleet whose gateway has the memory and descriptors of a small host."""
    fleet = GatewayFleet(free_address, tmp_path)
    fleet.limits = dict(LIMITS)
    await fleet.start()
    await fleet.wait_readiness()
    yield fleet
    await fleet.stop()


async def _watch(fleet: GatewayFleet, callers: UnreadCallers) -> tuple[int, int]:
    """Return the largest resident memory and number of descriptors beside the callers."""
    assert fleet.process is not None
    pid = fleet.process.pid
    resident = descriptors = 0
    with callers:
        for _ in range(int(FLOOD_S / SAMPLE_S)):
            await asyncio.sleep(SAMPLE_S)
            assert fleet.process.returncode is None, "the gateway has ended"
            resident = max(resident, read_resident_bytes(pid))
            descriptors = max(descriptors, count_descriptors(pid))
    return resident, descriptors


async def _check(fleet: GatewayFleet, callers: UnreadCallers) -> None:
    resident, descriptors = await _watch(fleet, callers)
    seen = f"resident {resident >> 20} MB, descriptors {descriptors}, sent {callers.sent_bytes}"
    assert callers.sent_bytes
    assert resident < MAX_RESIDENT_BYTES, seen
    assert descriptors < MAX_DESCRIPTORS, seen
    fleet.response_delay_s = 0.0
    fleet.response_body = b"paid"
    async with asyncio.timeout(30.0):
        while (await fleet.send_payment()).status != 200:
            await asyncio.sleep(0.1)


async def test_callers_without_headers_do_not_use_up_the_descriptors(fleet: GatewayFleet) -> None:
    """Guards against callers that leave no descriptor for servers and the store."""
    block = WITHOUT_HEADERS * 200
    callers = UnreadCallers(fleet.caller_address, connections=400, first=b"", block=block)
    await _check(fleet, callers)


async def test_unread_readiness_does_not_use_up_the_descriptors(fleet: GatewayFleet) -> None:
    """Guards against peers of the readiness listener that leave no descriptor for others."""
    callers = UnreadCallers(fleet.ready_address, connections=400, first=b"", block=READY * 200)
    await _check(fleet, callers)


async def test_unread_refusals_do_not_use_up_the_memory(fleet: GatewayFleet) -> None:
    """Guards against refusals with long ids that pile up at paths without a route."""
    block = WITHOUT_ROUTE * 20
    callers = UnreadCallers(fleet.caller_address, connections=8, first=b"", block=block)
    await _check(fleet, callers)


async def test_unread_responses_of_servers_do_not_use_up_the_memory(fleet: GatewayFleet) -> None:
    """Guards against responses of a safe route that pile up."""
    cfg = fleet.config(9, timeout_ms=1500)
    route = cfg["routes"][1] | {"name": "safe", "path_prefix": "/safe/", "kind": "safe"}
    cfg["routes"].append(route)
    fleet.store.put("keyed.op", "config", cfg)
    await asyncio.sleep(APPLY_LIMIT_S)
    fleet.response_body = LARGE_RESPONSE
    block = b"".join(SAFE % number for number in range(200))
    callers = UnreadCallers(fleet.caller_address, connections=8, first=b"", block=block)
    await _check(fleet, callers)


async def test_whole_requests_at_silent_servers_do_not_use_up_the_memory(
    fleet: GatewayFleet,
) -> None:
    """Guards against requests whose bodies are held while their servers do not respond."""
    fleet.store.put("keyed.op", "config", fleet.config(9, timeout_ms=15_000))
    await asyncio.sleep(APPLY_LIMIT_S)
    fleet.response_delay_s = 60.0
    callers = UnreadCallers(
        fleet.caller_address, connections=40, first=LARGE_REQUEST, block=b"", interval_s=0.15
    )
    await _check(fleet, callers)
