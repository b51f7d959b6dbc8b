"""A gateway whose background tasks fail."""

from __future__ import annotations

import asyncio
import os
import signal
from typing import TYPE_CHECKING

import msgspec
import structlog
from tests.platform_adapter import payloads

from cornellead.gateway.exchange import LoadExchange
from cornellead.gateway.process import GatewayProcess
from cornellead.gateway.view import FleetView
from cornellead_platform import PlatformHeaders
from cornellead_platform import StoreClient
from cornellead_platform import load_node_settings

if TYPE_CHECKING:
    from collections.abc import Callable
    from pathlib import Path

    from returns.result import Result

    from cornellead_core.routing import NodeSettings


async def test_failed_task_does_not_end_the_gateway(
    tmp_path: Path, free_address: Callable[[], str]
) -> None:
    """Guards against a gateway that cuts its requests because a background task failed."""
    path = tmp_path / "boot.json"
    port = int(free_address().rpartition(":")[2])
    body = payloads.node_settings(
        free_address(),
        listen={"front": free_address(), "ready": free_address()},
        internal_port_range=[port, port + 1],
        bounds={"grace_s": 1.0},
    )
    path.write_bytes(msgspec.json.encode(body))

    def load(path: str) -> Result[NodeSettings, str]:
        raise ValueError("poisoned")

    with structlog.testing.capture_logs() as lines:
        process = GatewayProcess(
            settings=load_node_settings(str(path)).unwrap(),
            settings_path=str(path),
            load=load,
            open_store=lambda http: StoreClient(address=body["platform"]["address"], http=http),
            wire=PlatformHeaders(),
            ready_path="/v1/ready",
            metrics_port=int(free_address().rpartition(":")[2]),
        )
        running = asyncio.create_task(process.run())
        await asyncio.wait({running}, timeout=2.5)
        assert not running.done(), running.exception()
        os.kill(os.getpid(), signal.SIGTERM)
        await asyncio.wait_for(running, 5.0)
    failures = [line for line in lines if line["event"] == "background task failed"]
    assert {line["task"] for line in failures} == {"watch-settings"}
    assert lines[-1]["event"] == "stopped"


async def test_restarted_exchange_listens_on_its_address_again(
    free_address: Callable[[], str],
) -> None:
    """Guards against load reports that end with the first failure, as the address is in use."""
    view = FleetView(router="r1")
    loop = asyncio.get_running_loop()
    exchange = LoadExchange(view=view, address=free_address(), clock=loop.time)
    for _ in range(2):
        task = asyncio.create_task(exchange.run())
        await asyncio.sleep(0.05)
        assert not task.done(), task.exception()
        task.cancel()
        await asyncio.sleep(0.05)
