"""Leases of team limits under lost answers, pauses and two coordinators."""

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
LENT_S = 5.0
ROUTERS = ("r1", "r2", "r3", "r4")


class _Held(NamedTuple):
    amount: float
    until: float


class ShareMachine(RuleBasedStateMachine):
    """Routers report to either of two coordinators; answers may be lost.

    Guards against leases that together exceed the limit. A router keeps the rule of the design: it
    reports to another coordinator only after everything lent to the former one has lapsed.
    """

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0
        self.pools = {"c1": SharePool(), "c2": SharePool()}
        self.held: dict[str, _Held] = {}
        self.lent: dict[str, tuple[str, float]] = {}

    @rule(seconds=st.floats(0.0, 12.0))
    def wait(self, seconds: float) -> None:
        """Let time pass."""
        self.now += seconds

    @rule(
        router=st.sampled_from(ROUTERS),
        coordinator=st.sampled_from(("c1", "c2")),
        demand=st.floats(0.0, 1000.0),
        lost=st.booleans(),
    )
    def report(self, router: str, coordinator: str, demand: float, lost: bool) -> None:
        """Report demand; the coordinator always hears it, the router may miss the answer."""
        former, lent_until = self.lent.get(router, (coordinator, 0.0))
        if former != coordinator and self.now < lent_until + LEASE_S:
            return
        self.lent[router] = (coordinator, self.now + LENT_S)
        held = self.held.get(router, _Held(0.0, 0.0))
        share = self.pools[coordinator].request(
            router,
            demand=demand,
            held=held.amount if held.until > self.now else 0.0,
            limit=LIMIT,
            routers=len(ROUTERS),
            lent_s=LENT_S,
            lease_s=LEASE_S,
            settled=True,
            now=self.now,
        )
        assert share >= floor_share(LIMIT, len(ROUTERS)) - 1e-6
        if not lost:
            self.held[router] = _Held(share, self.now + LEASE_S)

    @invariant()
    def uses_at_most_the_limit(self) -> None:
        """Leases in use and shares without a lease stay within the limit."""
        floor = floor_share(LIMIT, len(ROUTERS))
        used = [
            held.amount if (held := self.held.get(name)) and held.until > self.now else floor
            for name in ROUTERS
        ]
        assert sum(used) <= LIMIT + 1e-6


TestShares = ShareMachine.TestCase
TestShares.settings = settings(max_examples=200, stateful_step_count=40, derandomize=True)


def ask(pool: SharePool, router: str, demand: float, held: float, now: float) -> float:
    """Report to a pool of two routers."""
    return pool.request(
        router,
        demand=demand,
        held=held,
        limit=LIMIT,
        routers=2,
        lent_s=LENT_S,
        lease_s=LEASE_S,
        settled=True,
        now=now,
    )


def test_share_follows_demand() -> None:
    """Guards against equal shares for unequal demand."""
    pool = SharePool()
    held = {"r1": 0.0, "r2": 0.0}
    for step in range(4):
        for name, demand in (("r1", 90.0), ("r2", 10.0)):
            held[name] = ask(pool, name, demand, held[name], 2.0 * step)
    assert held["r1"] > 75.0
    assert held["r2"] >= floor_share(LIMIT, 2)


def test_new_coordinator_process_raises_no_share_before_it_knows_all() -> None:
    """Guards against leasing out what a router still holds from the process before."""
    pool = SharePool()
    share = pool.request(
        "r1",
        demand=100.0,
        held=0.0,
        limit=LIMIT,
        routers=2,
        lent_s=LENT_S,
        lease_s=LEASE_S,
        settled=False,
        now=0.0,
    )
    assert share == floor_share(LIMIT, 2)
