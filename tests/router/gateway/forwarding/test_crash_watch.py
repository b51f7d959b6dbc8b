"""Detection of server crashes by broken connections."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import pytest
from structlog.testing import capture_logs

from cornellead_core.close_delimited import CHECK_TIMEOUT_S

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    from tests.router.gateway.gateway_harness import Gateway
    from tests.router.gateway.scripted_server import Script
    from tests.router.gateway.scripted_server import ScriptedExchange
    from tests.router.gateway.scripted_server import ScriptedServer

    StartServer = Callable[[Script], Awaitable[ScriptedServer]]

LISTENER_DELAY_S = 0.015
PROMPT = "X-Prompt-Prefix: a1:80,b2:40,c3:5"


@pytest.mark.parametrize("crashed", [True, False])
async def test_crash_is_told_from_a_reset_connection(
    gateway: Gateway, start_server: StartServer, crashed: bool
) -> None:
    """Guards against evidence of a crash from a server that only reset a connection."""

    async def break_off(exchange: ScriptedExchange) -> None:
        await exchange.begin_stream()
        if crashed:
            server.crash()
        exchange.reset()

    server = await start_server(break_off)
    gateway.configure(server)
    with capture_logs() as logs:
        assert (await gateway.call("/stream/1", PROMPT)).status == 502
        await asyncio.sleep(CHECK_TIMEOUT_S)
    events = [line for line in logs if line["event"] in ("server crashed", "connections reset")]
    assert [line["event"] for line in events] == [
        "server crashed" if crashed else "connections reset"
    ]
    parts = [line["parts"] for line in logs if line["event"] == "request at crash"]
    assert parts == ([("a1", "b2")] if crashed else [])


async def test_crash_is_noticed_while_the_listening_socket_is_still_open(
    gateway: Gateway, start_server: StartServer
) -> None:
    """Guards against a crash without evidence, since the kernel closes the connections first."""

    async def break_off(exchange: ScriptedExchange) -> None:
        await exchange.begin_stream()
        await server.end(listener_delay_s=LISTENER_DELAY_S)

    server = await start_server(break_off)
    gateway.configure(server)
    with capture_logs() as logs:
        assert (await gateway.call("/stream/1", PROMPT)).status == 502
        await asyncio.sleep(CHECK_TIMEOUT_S)
    assert [line["parts"] for line in logs if line["event"] == "request at crash"] == [("a1", "b2")]
