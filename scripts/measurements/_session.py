"""A fleet under chat load, with readings."""

from __future__ import annotations

import asyncio
import random
import time
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING

import httpx

from scripts.fleet import Fleet
from scripts.traffic import Caller
from scripts.traffic import ChatLoad
from scripts.traffic import Tally
from scripts.traffic import Watcher

if TYPE_CHECKING:
    from collections.abc import AsyncGenerator

    from scripts.fleet import FleetPlan
    from scripts.traffic import ChatShape

SEED = 7


class Session:
    """A running fleet with its callers."""

    def __init__(self, *, fleet: Fleet, client: httpx.AsyncClient) -> None:
        self.fleet = fleet
        self.client = client
        self.tally = Tally()
        self.watcher = Watcher(fleet=fleet, client=client)
        self.rng = random.Random(SEED)

    async def hold_chats(self, shape: ChatShape, *, chats: int, seconds: float) -> None:
        """Hold chats for a time."""
        caller = Caller(
            client=self.client, routers=self.fleet.router_urls, tally=self.tally, rng=self.rng
        )
        load = ChatLoad(caller=caller, shape=shape, rng=self.rng)
        await load.run(chats=chats, stop_at=time.monotonic() + seconds)


@asynccontextmanager
async def open_session(plan: FleetPlan) -> AsyncGenerator[Session]:
    """Start a fleet, read it while it is used, and stop it."""
    fleet = Fleet(plan=plan)
    limits = httpx.Limits(max_connections=None, max_keepalive_connections=256)
    try:
        await asyncio.to_thread(fleet.start)
        async with httpx.AsyncClient(limits=limits) as client:
            session = Session(fleet=fleet, client=client)
            watching = asyncio.create_task(session.watcher.run())
            yield session
            watching.cancel()
    finally:
        fleet.stop()
