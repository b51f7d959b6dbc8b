"""Tests of the division of team limits among routers by leases."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from returns.result import Failure
from returns.result import Result
from returns.result import Success
from tests.router.harness import make_config
from tests.router.harness import make_team

from cornellead.limits import ShareController
from cornellead.limits import TeamLimiter
from cornellead.limits._share_controller import coordinator_of
from cornellead_core.blackboard import Blackboard
from cornellead_core.facts import CONFIG
from cornellead_core.facts import HOSTS
from cornellead_core.limits import DELEGATION_S
from cornellead_core.limits import LEASE_S
from cornellead_core.platform import HostEntry
from cornellead_core.platform import HostKind
from cornellead_core.wire import ShareRequest

if TYPE_CHECKING:
    from cornellead_core.wire import Message

TEAM = make_team("a", requests_per_s=100.0, concurrent_requests=40)


class RouterGroup:
    """Routers that exchange control messages in memory and share a clock."""

    def __init__(self, *names: str) -> None:
        self.now = 0.0
        self.unreachable: set[str] = set()
        self.contacted: list[str] = []
        self.boards = {name: Blackboard() for name in names}
        self.limiters = {}
        self.controllers = {}
        for name, board in self.boards.items():
            board.write(CONFIG, make_config(TEAM))
            self.set_host_list(name, *names)
            self.limiters[name] = TeamLimiter(board=board, name=name, started_at=0.0)
            self.controllers[name] = ShareController(
                board=board,
                team_limiter=self.limiters[name],
                client=self,
                router=name,
                clock=lambda: self.now,
            )

    def set_host_list(self, observer: str, *names: str) -> None:
        """Set the routers in the host list of one router."""
        hosts = [HostEntry(name, HostKind.ROUTER, "r", "d", "", name) for name in names]
        self.boards[observer].write(HOSTS, tuple(hosts))

    async def request(self, address: str, message: Message) -> Result[Message, str]:
        """Deliver a control message unless its receiver is unreachable."""
        assert isinstance(message, ShareRequest)
        self.contacted.append(address)
        if address in self.unreachable:
            return Failure("unreachable")
        return Success(self.controllers[address].grant_leases(message))

    def report(self) -> None:
        """Let every router report once."""
        for controller in self.controllers.values():
            asyncio.run(controller.report())

    def share(self, name: str) -> tuple[float, float]:
        """Return the current share of a router: requests per second and concurrent requests."""
        limiter = self.limiters[name]
        limit = limiter.limits()["a"]
        routers = len(limiter.routers())
        return limiter.state("a", now=self.now).share(limit=limit, routers=routers, now=self.now)

    def send_requests(self, name: str, number: int) -> int:
        """Send requests that do not end to a router, and return how many it admitted."""
        limiter = self.limiters[name]
        return sum(limiter.admit(TEAM, now=self.now) is None for _ in range(number))


def test_shares_follow_demand_within_the_limit() -> None:
    """Guards against a busy router that never gets more than an equal share.

    The shares together must stay within the limit of the team all the time.
    """
    routers = RouterGroup("r1", "r2")
    admitted = 0
    for _ in range(12):
        routers.report()
        admitted += routers.send_requests("r1", 40 - admitted)
        rates, slots = zip(*(routers.share(name) for name in ("r1", "r2")), strict=True)
        assert sum(rates) <= 100.0 + 1e-6
        assert sum(slots) <= 40.0 + 1e-6
        routers.now += 2.0
    assert admitted >= 30


def test_nothing_is_admitted_before_the_first_lease() -> None:
    """Guards against a new router that exceeds a limit of which other routers hold all leases."""
    routers = RouterGroup("r1", "r2")
    assert routers.send_requests("r1", 5) == 0
    assert not routers.limiters["r1"].ready(now=0.0)
    routers.report()
    assert routers.limiters["r1"].ready(now=0.0)
    assert routers.send_requests("r1", 5) == 5


def test_router_uses_the_minimum_share_when_the_coordinator_is_unreachable() -> None:
    """Guards against an outage of the coordinator that blocks a team or lifts its limit."""
    routers = RouterGroup("r1", "r2")
    coordinator = coordinator_of("a", {"r1": "", "r2": ""})
    other = "r2" if coordinator == "r1" else "r1"
    routers.report()
    routers.unreachable.add(coordinator)
    routers.now += LEASE_S + 1.0
    asyncio.run(routers.controllers[other].report())
    assert routers.share(other) == (100.0 / 8, 40.0 / 8)


def test_router_delegates_its_quota_to_one_coordinator_at_a_time() -> None:
    """Guards against two coordinators that lease out the same quota.

    This can happen when the coordinator changes because the host list of one router changed.
    """
    routers = RouterGroup("r1", "r2", "r3")
    names = {"r1": "", "r2": "", "r3": ""}
    old_coordinator = coordinator_of("a", names)
    new_coordinator = coordinator_of("a", {name: "" for name in names if name != old_coordinator})
    reporter = next(name for name in names if name not in (old_coordinator, new_coordinator))
    routers.send_requests(reporter, 1)
    asyncio.run(routers.controllers[reporter].report())
    routers.set_host_list(reporter, *(name for name in names if name != old_coordinator))
    for _ in range(int(DELEGATION_S + LEASE_S)):
        routers.now += 1.0
        asyncio.run(routers.controllers[reporter].report())
    assert set(routers.contacted) == {old_coordinator}
    routers.now += 2.0
    asyncio.run(routers.controllers[reporter].report())
    assert set(routers.contacted) == {old_coordinator, new_coordinator}
