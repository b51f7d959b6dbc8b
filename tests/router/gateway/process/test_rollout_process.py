"""A gateway process that is ordered to roll a version out."""

from __future__ import annotations

import asyncio
import os
import signal
from typing import TYPE_CHECKING

import msgspec
import pytest
from tests.platform_adapter import payloads
from tests.platform_adapter.fake_store import FakeStore

from cornellead.gateway.process import GatewayProcess
from cornellead_platform import PlatformHeaders
from cornellead_platform import StoreClient
from cornellead_platform import load_node_settings

if TYPE_CHECKING:
    from collections.abc import Callable
    from pathlib import Path

TIMEOUT_S = 10.0


@pytest.mark.parametrize("ordered", [True, False])
async def test_order_is_carried_out_and_nothing_is_read_without_one(
    tmp_path: Path, free_address: Callable[[], str], ordered: bool
) -> None:
    """Guards against a process that never reads its orders, or pays for rollouts without one."""
    address = free_address()
    store = FakeStore(address=address)
    await store.start()
    service = payloads.server_entry()["service"]
    store.put("keyed.op", "config", payloads.operator_config())
    store.put("keyed.servers", "s1", {**payloads.server_entry(), "version": "v2"})
    if ordered:
        order = {"service": service, "to": "v2", "duration_s": 60}
        store.put("keyed.op", f"rollout/{service}", order)
    path = tmp_path / "boot.json"
    port = int(free_address().rpartition(":")[2])
    body = payloads.node_settings(
        address,
        listen={"front": free_address(), "ready": free_address()},
        internal_port_range=[port, port + 1],
        bounds={"grace_s": 1.0},
    )
    path.write_bytes(msgspec.json.encode(body))
    process = GatewayProcess(
        settings=load_node_settings(str(path)).unwrap(),
        settings_path=str(path),
        load=load_node_settings,
        open_store=lambda http: StoreClient(address=address, http=http),
        wire=PlatformHeaders(),
        ready_path="/v1/ready",
        metrics_port=int(free_address().rpartition(":")[2]),
    )
    running = asyncio.create_task(process.run())
    try:
        async with asyncio.timeout(TIMEOUT_S if ordered else 1.5):
            while f"rollout/{service}" not in store.newest("keyed.status"):
                await asyncio.sleep(0.05)
    except TimeoutError:
        assert not ordered
    os.kill(os.getpid(), signal.SIGTERM)
    await asyncio.wait_for(running, TIMEOUT_S)
    store.stop()
    status = store.newest("keyed.status").get(f"rollout/{service}")
    if ordered:
        assert status is not None
        assert msgspec.json.decode(status) == {"state": "completed", "to": "v2"}
    else:
        assert not store.newest("keyed.rollouts")
