"""Requests to a service during a rollout, over real connections."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

import pytest
from tests.router.gateway.builders import make_entry

from cornellead_core.routing import RolloutOrder
from cornellead_core.routing import RolloutPhase
from cornellead_core.routing import RolloutRecord

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    from tests.router.gateway.gateway_harness import Gateway
    from tests.router.gateway.scripted_server import Script
    from tests.router.gateway.scripted_server import ScriptedExchange
    from tests.router.gateway.scripted_server import ScriptedServer

    StartServer = Callable[[Script], Awaitable[ScriptedServer]]


async def _respond_ok(exchange: ScriptedExchange) -> None:
    await exchange.send(exchange.sealed_response(200, b"body"))


async def _fail(exchange: ScriptedExchange) -> None:
    await exchange.send(exchange.sealed_response(500, b"failure"))


async def _refuse(exchange: ScriptedExchange) -> None:
    await exchange.send(exchange.response(503, "X-Not-Executed: 1"))


@pytest.mark.parametrize(
    ("script", "path", "status", "counts"),
    [
        (_fail, "/unsafe/1", 500, (2, 2, 8, 0)),
        (_fail, "/safe/1", 200, (2, 2, 10, 0)),
        (_refuse, "/unsafe/1", 200, (0, 0, 10, 0)),
    ],
    ids=["unsafe", "repeated", "refused"],
)
async def test_responses_of_both_versions_are_counted(
    gateway: Gateway,
    start_server: StartServer,
    script: Script,
    path: str,
    status: int,
    counts: tuple[int, int, int, int],
) -> None:
    """Guards against exposure above the share, repeated requests that are exposed again, and
    responses that are not counted on the way through the forwarder."""
    old, new = await start_server(_respond_ok), await start_server(script)
    gateway.configure(old)
    now = time.monotonic()
    gateway.view.servers.put(make_entry("n", address=new.address, version="v2"), now=now)
    gateway.view.rollouts.apply_order(RolloutOrder("llm", "v2", 60.0, 1), now=now)
    record = RolloutRecord(1, "v2", RolloutPhase.RUNNING, 0.25, 0.0, announced=True)
    gateway.view.rollouts.apply_record("llm", record, now=now)
    statuses = [(await gateway.call(path)).status for _ in range(10)]
    assert statuses.count(status) == (2 if status == 500 else 10)
    rollout = gateway.view.rollouts.get("llm")
    assert rollout is not None and rollout.own == {path.split("/")[1]: counts}
