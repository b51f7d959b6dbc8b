"""Fixtures for the tests of the agent."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import pytest
from tests.agent.harness import Harness
from tests.agent.harness import ScriptedEngine

if TYPE_CHECKING:
    from collections.abc import AsyncIterator


@pytest.fixture
async def engine() -> AsyncIterator[ScriptedEngine]:
    """Yield a scripted engine that listens on a local port."""
    scripted = ScriptedEngine()
    server = await asyncio.start_server(scripted.serve, "127.0.0.1", 0)
    scripted.port = server.sockets[0].getsockname()[1]
    yield scripted
    server.close()


@pytest.fixture
async def harness(engine: ScriptedEngine) -> AsyncIterator[Harness]:
    """Yield a chat endpoint that forwards to the scripted engine."""
    built = Harness(port=engine.port)
    yield built
    built.client.close()
