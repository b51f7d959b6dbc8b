"""Sampling of the server's load report."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import msgspec
import pytest

from cornellead_agent.engine import CacheWatcher
from cornellead_agent.engine import ServerMonitor
from cornellead_agent.facts import SERVER
from cornellead_core.blackboard import run_controllers
from cornellead_core.config import EMPTY_CONFIG
from cornellead_core.facts import CONFIG

if TYPE_CHECKING:
    from tests.agent.harness import Harness
    from tests.agent.harness import ScriptedEngine


def make_load(boot_id: str, *, cached_blocks: int = 100, running: int = 0) -> bytes:
    """Return a response of the engine to ``GET /load``."""
    load = {"boot_id": boot_id, "restarts": 0, "running": running, "cached_blocks": cached_blocks}
    body = msgspec.json.encode(load)
    return b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n%s" % (len(body), body)


def make_monitor(harness: Harness) -> ServerMonitor:
    """Return a monitor of the scripted engine."""
    return ServerMonitor(
        dc="dc0",
        board=harness.board,
        client=harness.client,
        cold_limit=harness.cold_limit,
        chats=harness.chats,
    )


def read_state(harness: Harness) -> str:
    """Return the serving state that the agent reports."""
    return harness.admission.state.value


async def test_server_restart_resets_the_cold_limit_and_clears_the_chats(
    engine: ScriptedEngine, harness: Harness
) -> None:
    """Guards against full load and returning chats at an engine that lost its cache."""
    monitor = make_monitor(harness)
    harness.chats.touch(1, now=0.0)
    engine.prepare_response(make_load("boot"))
    engine.prepare_response(make_load("boot-2"))
    await monitor.sample()
    assert (harness.cold_limit.value, len(harness.chats)) == (16, 1)
    await monitor.sample()
    assert (harness.cold_limit.value, len(harness.chats)) == (2, 0)
    assert harness.board.read(SERVER).boot_id == "boot-2"


async def test_server_is_down_after_two_failed_samples(
    engine: ScriptedEngine, harness: Harness
) -> None:
    """Guards against refusals after one failed sample and against requests to a dead server."""
    monitor = make_monitor(harness)
    engine.prepare_response(b"HTTP/1.1 503 Down\r\ncontent-length: 0\r\n\r\n")
    await monitor.sample()
    assert read_state(harness) == "serving"
    engine.prepare_response(b"HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\n{")
    await monitor.sample()
    assert read_state(harness) == "down"
    engine.prepare_response(make_load("boot"))
    await monitor.sample()
    assert read_state(harness) == "serving"


async def test_server_in_an_out_of_service_data_centre_resets_its_cold_limit(
    engine: ScriptedEngine, harness: Harness
) -> None:
    """Guards against a load surge on a data centre that returns to service (guarantee G3)."""
    monitor = make_monitor(harness)
    engine.prepare_response(make_load("boot", running=9))
    harness.board.write(CONFIG, EMPTY_CONFIG._replace(out_of_service=frozenset({"dc0"})))
    await monitor.sample()
    harness.board.write(CONFIG, EMPTY_CONFIG)
    assert (harness.cold_limit.value, harness.cold_limit.drops) == (2, 0)


@pytest.mark.parametrize("controller", ["monitor", "watcher"])
async def test_deeply_nested_bytes_of_an_engine_do_not_end_the_controllers(
    engine: ScriptedEngine, harness: Harness, controller: str
) -> None:
    """Guards against an agent that drains and exits, at each start, over what its engine sends."""
    body = b'{"extra":' + b"[" * 100_000 + b"]" * 100_000 + b"}"
    head = b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n" % len(body)
    for _ in range(4):
        engine.prepare_response(head + body)
    watcher = CacheWatcher(board=harness.board, client=harness.client, chats=harness.chats)
    with pytest.raises(TimeoutError):
        async with asyncio.timeout(0.6):
            await run_controllers([make_monitor(harness) if controller == "monitor" else watcher])
    assert read_state(harness) == ("down" if controller == "monitor" else "serving")
