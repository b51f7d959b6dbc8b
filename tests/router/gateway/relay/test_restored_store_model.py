"""Model of routers and a store that comes back from older copies, with restarts and cuts."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from hypothesis import HealthCheck
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
from tests.router.gateway.restored_fleet import OPERATOR
from tests.router.gateway.restored_fleet import SERVERS
from tests.router.gateway.restored_fleet import RestoredFleet

from cornellead.gateway.relay._relayed_store import READER_BACKOFF_S
from cornellead.gateway.view._store_history import FALLEN_ERA_S
from cornellead.gateway.view._store_history import SETTLE_S
from cornellead_core.routing import Topic

if TYPE_CHECKING:
    from collections.abc import Callable

ROUTERS = 3
MAX_READS = 6
"""Reads of each router after which it knows the newest state: two to start over, and as many again
for a follower whose reader starts over at the same time."""
ODD_ERA = 10**17
"""Era that a store names by mistake."""
TOPICS = (Topic.OPERATOR, Topic.SERVERS)
NAMES = ("s1", "s2", "s3")
WRITES = st.one_of(
    st.tuples(st.just("config"), st.just(0)),
    st.tuples(st.sampled_from(("ready", "draining", "gone")), st.integers(0, 2)),
    st.tuples(st.sampled_from(("out", "back")), st.integers(0, 1)),
)
READS = st.one_of(
    st.just(("read_all", 0)),
    st.tuples(
        st.sampled_from(("read", "cut", "mend", "restart", "odd", "earlier")),
        st.integers(0, ROUTERS - 1),
    ),
)
STARTS = st.tuples(st.just("start"), st.integers(0, ROUTERS - 1))
RESTORES = st.tuples(st.just("restore"), st.integers(1, 6))
EPISODES = st.tuples(
    st.lists(WRITES, min_size=2, max_size=6),
    st.lists(READS, min_size=1, max_size=3),
    st.lists(RESTORES, max_size=1),
    st.lists(st.one_of(STARTS, READS), max_size=3),
)
"""Some writes that routers may see, then often a restore to a copy without them, and often routers
that start while the store has only the copy."""


class Model:
    """What the operator and the servers wrote, and the versions that each router had."""

    def __init__(self, fleet: RestoredFleet) -> None:
        self.fleet = fleet
        self.version = 1
        self.sequence = 1
        self.servers: dict[str, str] = {}
        self.out: set[str] = set()
        self.copies = [fleet.store.copy()]
        self.versions = {router.name: 0 for router in fleet.routers}

    async def apply(self, action: str, number: int) -> None:
        """Make one step."""
        router = self.fleet.routers[number % ROUTERS]
        if action == "config":
            self.version += 1
            self.fleet.put_config(self.version)
        elif action in ("ready", "draining", "gone"):
            # A server that has left does not come back under the same start.
            leaving = self.servers.get(NAMES[number]) in ("draining", "gone")
            if not ((leaving and action == "ready") or self.servers.get(NAMES[number]) == "gone"):
                self.servers[NAMES[number]] = action
                self._write_server(NAMES[number])
        elif action in ("out", "back"):
            name = f"dc-{number}"
            (self.out.add if action == "out" else self.out.discard)(name)
            self._write_data_centre(name)
        elif action == "read":
            for topic in TOPICS:
                await router.read(topic)
        elif action == "odd":
            era, self.fleet.store.era = self.fleet.store.era, ODD_ERA
            for topic in TOPICS:
                await router.read(topic)
            self.fleet.store.era = era
        elif action == "earlier":
            router.name_no_era()
        elif action in ("cut", "mend"):
            router.store_path.cut_off = action == "cut"
        elif action in ("restart", "start"):
            known = [other.version for other in self.fleet.routers if other is not router]
            await self.fleet.restart(number)
            self.versions[router.name] = max(known)
            if action == "start":
                for topic in TOPICS:
                    await self.fleet.routers[number].read(topic)
        elif action == "read_all":
            for topic in TOPICS:
                await self.fleet.read(topic)
        else:
            self.fleet.store.restore(self.copies[-number] if number <= len(self.copies) else {})
        if self.fleet.store.copy() != self.copies[-1]:
            self.copies.append(self.fleet.store.copy())
        self.check_versions()

    def write_again(self) -> None:
        """Write what the store has lost, as the operator and the servers do."""
        listed = self.fleet.store.newest(OPERATOR)
        if f'"version":{self.version},'.encode() not in listed.get("config", b""):
            self.fleet.put_config(self.version)
        for name in ("dc-0", "dc-1"):
            if (f"evacuate/{name}" in listed) != (name in self.out):
                self._write_data_centre(name)
        for name, state in self.servers.items():
            entry = self.fleet.store.newest(SERVERS).get(name, b"")
            if state.encode() not in entry if state != "gone" else entry:
                self._write_server(name)

    def check_versions(self) -> None:
        """Check that no router went back to an older configuration, and that one that starts does
        not serve by an older one than those that were running."""
        for router in self.fleet.routers:
            if router.version:
                assert router.version >= self.versions[router.name]
                self.versions[router.name] = router.version

    def check_safe(self) -> None:
        """Check that all routers know the newest configuration and use no server that is not to be
        used, while the store may still lack something."""
        self.check_versions()
        ready = {name for name, state in self.servers.items() if state == "ready"}
        draining = {name for name, state in self.servers.items() if state == "draining"}
        for router in self.fleet.routers:
            assert router.version == self.version
            assert self.out <= router.view.servers.data_centres_out_of_service
            assert ready <= router.usable
            assert not draining & router.usable

    def check_newest(self) -> None:
        """Check that all routers know the newest state."""
        ready = {name for name, state in self.servers.items() if state == "ready"}
        for router in self.fleet.routers:
            assert router.version == self.version
            assert router.view.servers.data_centres_out_of_service == self.out
            assert router.usable == ready

    def _write_server(self, name: str) -> None:
        self.sequence += 1
        state = self.servers[name]
        if state == "gone":
            self.fleet.store.put(SERVERS, name, None)
        else:
            self.fleet.put_server(name, state=state, sequence=self.sequence)

    def _write_data_centre(self, name: str) -> None:
        self.fleet.store.put(OPERATOR, f"evacuate/{name}", {} if name in self.out else None)


async def _read_all(fleet: RestoredFleet) -> None:
    for topic in TOPICS:
        await fleet.read(topic, times=MAX_READS)


async def _announce_all(fleet: RestoredFleet) -> None:
    for router in fleet.routers:
        await router.store.announce(router.name, router.location)


async def _play(free_address: Callable[[], str], steps: list[tuple[str, int]]) -> None:
    fleet = RestoredFleet(free_address, routers=ROUTERS)
    await fleet.start()
    try:
        fleet.put_config(1)
        await _announce_all(fleet)
        model = Model(fleet)
        for action, number in steps:
            await model.apply(action, number)
        model.write_again()
        for router in fleet.routers:
            router.store_path.cut_off = False
            router.now_offset_s += READER_BACKOFF_S
        await _announce_all(fleet)
        await _read_all(fleet)
        for router in fleet.routers:
            router.now_offset_s += FALLEN_ERA_S
        await _read_all(fleet)
        model.check_safe()
        await model.apply("config", 0)
        await _read_all(fleet)
        model.check_safe()
        for router in fleet.routers:
            router.now_offset_s += SETTLE_S
        await _read_all(fleet)
        model.check_newest()
    finally:
        fleet.stop()


@settings(
    max_examples=100, deadline=None, suppress_health_check=[HealthCheck.function_scoped_fixture]
)
@given(episodes=st.lists(EPISODES, max_size=3))
def test_all_routers_know_the_newest_state_once_the_store_is_stable(
    free_address: Callable[[], str], episodes: list[tuple[list[tuple[str, int]], ...]]
) -> None:
    """Guards against routers that stay in a lost history, whatever restores, cuts, restarts and odd
    eras come before and whichever of them name no era, and against one that goes back."""
    steps = [step for episode in episodes for part in episode for step in part]
    asyncio.run(_play(free_address, steps))


@settings(
    max_examples=60, deadline=None, suppress_health_check=[HealthCheck.function_scoped_fixture]
)
@given(
    writes=st.lists(WRITES, max_size=3),
    copy=st.integers(2, 6),
    starts=st.lists(st.one_of(STARTS, READS), min_size=1, max_size=4),
)
def test_routers_that_start_with_the_copy_serve_by_no_older_version_than_the_others(
    free_address: Callable[[], str],
    writes: list[tuple[str, int]],
    copy: int,
    starts: list[tuple[str, int]],
) -> None:
    """Guards against a restarted router that takes the copy for the newest state, whether the
    others have noticed the restore or not."""
    lost = [*writes, ("config", 0), ("read_all", 0), ("restore", copy)]
    asyncio.run(_play(free_address, [*lost, *starts]))
