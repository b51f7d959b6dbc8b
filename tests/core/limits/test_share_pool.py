"""Leases on team limits with lost responses, pauses and two coordinators."""

from __future__ import annotations

from typing import NamedTuple

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine
from hypothesis.stateful import invariant
from hypothesis.stateful import rule

from cornellead_core.limits import LEASE_S
from cornellead_core.limits import SharePool
from cornellead_core.limits import floor_share

LIMIT = 100.0
DELEGATION_S = 5.0
ROUTERS = ("r1", "r2", "r3", "r4")


class _HeldLease(NamedTuple):
    amount: float
    expires_at: float


class SharePoolMachine(RuleBasedStateMachine):
    """Routers report demand to one of two coordinators, and responses may be lost.

    Guards against leases that exceed the limit in total. As in production, a router switches to
    another coordinator only after its delegation to the previous one and the leases granted on it
    have expired.
    """

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0
        self.pools = {"c1": SharePool(), "c2": SharePool()}
        self.held: dict[str, _HeldLease] = {}
        self.delegated: dict[str, tuple[str, float]] = {}

    @rule(seconds=st.floats(0.0, 12.0))
    def wait(self, seconds: float) -> None:
        """Advance the clock."""
        self.now += seconds

    @rule(
        router=st.sampled_from(ROUTERS),
        coordinator=st.sampled_from(("c1", "c2")),
        demand=st.floats(0.0, 1000.0),
        lost=st.booleans(),
    )
    def report(self, router: str, coordinator: str, demand: float, lost: bool) -> None:
        """Report demand; the report always arrives, its response may be lost."""
        previous, delegated_until = self.delegated.get(router, (coordinator, 0.0))
        if previous != coordinator and self.now < delegated_until + LEASE_S:
            return
        self.delegated[router] = (coordinator, self.now + DELEGATION_S)
        held = self.held.get(router, _HeldLease(0.0, 0.0))
        share = self.pools[coordinator].request(
            router,
            demand=demand,
            held=held.amount if held.expires_at > self.now else 0.0,
            limit=LIMIT,
            routers=len(ROUTERS),
            delegation_s=DELEGATION_S,
            lease_s=LEASE_S,
            recovered=True,
            now=self.now,
        )
        assert share >= floor_share(LIMIT, len(ROUTERS)) - 1e-6
        if not lost:
            self.held[router] = _HeldLease(share, self.now + LEASE_S)

    @invariant()
    def stays_within_the_limit(self) -> None:
        """Leases in use and shares without a lease add up to at most the limit."""
        floor = floor_share(LIMIT, len(ROUTERS))
        used = [
            held.amount if (held := self.held.get(name)) and held.expires_at > self.now else floor
            for name in ROUTERS
        ]
        assert sum(used) <= LIMIT + 1e-6


TestSharePool = SharePoolMachine.TestCase
TestSharePool.settings = settings(max_examples=200, stateful_step_count=40, derandomize=True)


def report_demand(pool: SharePool, router: str, demand: float, held: float, now: float) -> float:
    """Report demand to a pool shared by two routers."""
    return pool.request(
        router,
        demand=demand,
        held=held,
        limit=LIMIT,
        routers=2,
        delegation_s=DELEGATION_S,
        lease_s=LEASE_S,
        recovered=True,
        now=now,
    )


def test_share_follows_demand() -> None:
    """Guards against dividing the limit equally when demand differs."""
    pool = SharePool()
    held = {"r1": 0.0, "r2": 0.0}
    for step in range(4):
        for name, demand in (("r1", 90.0), ("r2", 10.0)):
            held[name] = report_demand(pool, name, demand, held[name], 2.0 * step)
    assert held["r1"] > 75.0
    assert held["r2"] >= floor_share(LIMIT, 2)


def test_restarted_coordinator_raises_no_share_before_all_routers_report() -> None:
    """Guards against granting quota that is still leased by the coordinator's previous process."""
    pool = SharePool()
    share = pool.request(
        "r1",
        demand=100.0,
        held=0.0,
        limit=LIMIT,
        routers=2,
        delegation_s=DELEGATION_S,
        lease_s=LEASE_S,
        recovered=False,
        now=0.0,
    )
    assert share == floor_share(LIMIT, 2)
