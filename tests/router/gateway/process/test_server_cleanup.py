"""Request times of servers whose entry is removed, comes back, or is replaced."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from tests.router.gateway.builders import make_entry

from cornellead.gateway.policy import ColdStartLimiter
from cornellead.gateway.policy import ServerRateLimiter
from cornellead.gateway.process._server_cleanup import ServerCleanup
from cornellead.gateway.view import FleetView
from cornellead.upstream import ConnectionPool

if TYPE_CHECKING:
    from cornellead_core.routing import ServerEntry

ROUTERS = ["r1"]


class _Router:
    """The view and the limiters of a router, and what follows the changes of entries."""

    def __init__(self) -> None:
        self.view = FleetView(router="r1")
        self.cold = ColdStartLimiter(router="r1", burst=5.0)
        self.limited = ServerRateLimiter(router="r1")
        self.cleanup = ServerCleanup(
            view=self.view,
            pool=ConnectionPool(loop=asyncio.get_running_loop()),
            limiters=[self.cold, self.limited],
        )

    def put(self, entry: ServerEntry, *, now: float) -> None:
        for state in self.view.servers.put(entry, now=now):
            self.cleanup.remove(state)

    def remove(self, server: str, *, now: float) -> None:
        state = self.view.servers.remove(server, now=now)
        assert state is not None
        self.cleanup.remove(state)

    def try_send(self, *, now: float) -> tuple[bool, bool]:
        cold = self.cold.try_send("s1", rate_per_s=0.5, routers=ROUTERS, now=now)
        limited = self.limited.try_send("s1", limit_per_s=0.5, routers=ROUTERS, now=now)
        return cold, limited


async def test_entry_that_comes_back_brings_no_fresh_rate() -> None:
    """Guards against a request above the rate of a cold or limited server at each late write."""
    router = _Router()
    router.put(make_entry(started_ms=5, sequence=1), now=0.0)
    assert router.try_send(now=0.0) == (True, True)
    router.remove("s1", now=0.1)
    router.put(make_entry(started_ms=5, sequence=2), now=0.2)
    assert router.try_send(now=0.3) == (False, False)


async def test_restarted_server_has_a_fresh_rate() -> None:
    """Guards against a restarted server that waits for the rate of its earlier incarnation."""
    router = _Router()
    router.put(make_entry(started_ms=5, sequence=1), now=0.0)
    assert router.try_send(now=0.0) == (True, True)
    router.put(make_entry(started_ms=6, sequence=1), now=0.2)
    assert router.try_send(now=0.3) == (True, True)


async def test_servers_that_are_gone_are_forgotten() -> None:
    """Guards against memory that grows with each server that ever was."""
    router = _Router()
    router.put(make_entry(started_ms=5, sequence=1), now=0.0)
    router.try_send(now=0.0)
    router.remove("s1", now=0.1)
    router.cleanup.remove_idle(now=30.0)
    assert router.cold.next_send_at("s1", rate_per_s=0.01, routers=ROUTERS, now=30.0) == 100.0
    router.cleanup.remove_idle(now=90.0)
    assert router.cold.next_send_at("s1", rate_per_s=0.01, routers=ROUTERS, now=90.0) == 100.0
    router.cleanup.remove_idle(now=101.0)
    assert router.cold.next_send_at("s1", rate_per_s=0.01, routers=ROUTERS, now=101.0) == 101.0
