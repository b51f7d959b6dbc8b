"""A running fleet with chat load and monitoring."""

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
from scripts.traffic import FleetMonitor
from scripts.traffic import Tally

if TYPE_CHECKING:
    from collections.abc import AsyncGenerator

    from scripts.fleet import FleetPlan
    from scripts.traffic import ChatShape

SEED = 7


class Session:
    """A running fleet with the client, the tally and the monitor of one measurement."""

    def __init__(self, *, fleet: Fleet, client: httpx.AsyncClient) -> None:
        self.fleet = fleet
        self.client = client
        self.tally = Tally()
        self.monitor = FleetMonitor(fleet=fleet, client=client)
        self.rng = random.Random(SEED)

    async def run_chats(self, shape: ChatShape, *, chats: int, seconds: float) -> None:
        """Generate chat load for a duration.

        :param chats: Number of concurrent chats.
        """
        caller = Caller(
            client=self.client, routers=self.fleet.router_urls, tally=self.tally, rng=self.rng
        )
        load = ChatLoad(caller=caller, shape=shape, rng=self.rng)
        await load.run(chats=chats, stop_at=time.monotonic() + seconds)


@asynccontextmanager
async def open_session(plan: FleetPlan) -> AsyncGenerator[Session]:
    """Start a fleet, monitor it inside the ``async with`` block, and stop it at the end."""
    fleet = Fleet(plan=plan)
    limits = httpx.Limits(max_connections=None, max_keepalive_connections=256)
    try:
        await asyncio.to_thread(fleet.start)
        async with httpx.AsyncClient(limits=limits) as client:
            session = Session(fleet=fleet, client=client)
            monitor_task = asyncio.create_task(session.monitor.run())
            yield session
            monitor_task.cancel()
    finally:
        fleet.stop()
