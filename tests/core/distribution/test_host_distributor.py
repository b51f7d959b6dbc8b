"""Guards against processes that miss a leaving host, and against each of them reading the list."""

from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING

import pytest
from hypothesis import given
from hypothesis import strategies as st
from returns.result import Failure
from returns.result import Result
from returns.result import Success

from cornellead_core.blackboard import Blackboard
from cornellead_core.distribution import HostDistributor
from cornellead_core.distribution import HostView
from cornellead_core.distribution import Taken
from cornellead_core.distribution import digest_hosts
from cornellead_core.facts import HOSTS
from cornellead_core.platform import HostEntry
from cornellead_core.platform import HostKind
from cornellead_core.platform import HostState
from cornellead_core.platform import PlatformError
from cornellead_core.settings import ProcessSettings

if TYPE_CHECKING:
    from cornellead_core.wire import Message


def make_host(name: str, state: HostState = HostState.LIVE, dc: str = "a") -> HostEntry:
    return HostEntry(name, HostKind.AGENT, "r", dc, f"{name}:1", f"{name}:2", state)


class FakePlatform:
    """Host list that can be down."""

    def __init__(self, hosts: list[HostEntry]) -> None:
        self.hosts = hosts
        self.down = False

    async def fetch(self) -> Result[list[HostEntry], PlatformError]:
        if self.down:
            return Failure(PlatformError("outage"))
        return Success(list(self.hosts))


class Fleet:
    """Distributors that exchange messages directly, with loss, under one virtual clock."""

    def __init__(self, *, size: int, seed: int, loss: float) -> None:
        self.now = 0.0
        self.rng = random.Random(seed)
        self.loss = loss
        self.platform = FakePlatform([make_host(f"h{n}", dc="ab"[n % 2]) for n in range(size)])
        self.boards: dict[str, Blackboard] = {}
        self.nodes: dict[str, HostDistributor] = {}
        for host in self.platform.hosts:
            board = Blackboard()
            self.boards[host.name] = board
            self.nodes[host.name] = HostDistributor(
                board=board,
                host_list=self.platform,
                client=self,
                settings=ProcessSettings(
                    host.name, "r", host.dc, host.http, host.control, "http://platform", "k" * 16
                ),
                clock=lambda: self.now,
                rng=random.Random(f"{seed}/{host.name}"),
            )

    async def request(self, address: str, message: Message) -> Result[Message, str]:
        node = self.nodes.get(address.partition(":")[0])
        if node is None or self.rng.random() < self.loss:
            return Failure("lost")
        answer = await node.handle(message)
        return Failure("lost") if answer is None else Success(answer)

    async def step(self) -> None:
        """Advance half a second: due processes read, all compare every second step."""
        self.now += 0.5
        for name, node in self.nodes.items():
            if node.reads_list():
                await node.refresh()
            if round(self.now * 2) % 2 == 0:
                peers = [host for host in self.boards[name].read(HOSTS) if host.name != name]
                if peers:
                    await node.compare(self.rng.choice(peers))
        for _ in range(20):
            await asyncio.sleep(0)

    def states(self, name: str) -> set[HostState | None]:
        """Return the states of one host as the processes see it."""
        found: set[HostState | None] = set()
        for board in self.boards.values():
            entry = {host.name: host for host in board.read(HOSTS)}.get(name)
            found.add(entry.state if entry else None)
        return found


@pytest.mark.parametrize("loss", [0.0, 0.2])
@pytest.mark.parametrize(("size", "seed"), [(40, seed) for seed in range(5)] + [(200, 5)])
async def test_a_leaving_host_is_known_everywhere_within_three_seconds(
    size: int, seed: int, loss: float
) -> None:
    fleet = Fleet(size=size, seed=seed, loss=loss)
    for _ in range(4):
        await fleet.step()
    fleet.platform.hosts[7] = make_host("h7", HostState.LEAVING, "b")
    for _ in range(6):
        await fleet.step()
    assert fleet.states("h7") == {HostState.LEAVING}


async def test_two_processes_of_a_data_centre_read_the_list() -> None:
    fleet = Fleet(size=40, seed=1, loss=0.0)
    for _ in range(4):
        await fleet.step()
    before = {name: node.reads for name, node in fleet.nodes.items()}
    for _ in range(20):
        await fleet.step()
    readers = [name for name, node in fleet.nodes.items() if node.reads > before[name]]
    assert len(readers) == 4


async def test_another_process_reads_when_both_readers_fail() -> None:
    fleet = Fleet(size=20, seed=2, loss=0.0)
    for _ in range(4):
        await fleet.step()
    before = {name: node.reads for name, node in fleet.nodes.items()}
    await fleet.step()
    for name in [name for name, node in fleet.nodes.items() if node.reads > before[name]]:
        del fleet.nodes[name]
        del fleet.boards[name]
    fleet.platform.hosts[:] = [host for host in fleet.platform.hosts if host.name in fleet.nodes]
    gone = {host.name for host in fleet.platform.hosts} ^ {f"h{n}" for n in range(20)}
    for _ in range(24):
        await fleet.step()
    assert all(fleet.states(name) == {None} for name in gone)


async def test_the_last_list_stays_during_an_outage() -> None:
    fleet = Fleet(size=10, seed=3, loss=0.0)
    await fleet.step()
    fleet.platform.down = True
    for _ in range(30):
        await fleet.step()
    assert fleet.states("h3") == {HostState.LIVE}


names = st.sampled_from([f"h{n}" for n in range(6)])
lists = st.dictionaries(names, st.sampled_from(HostState), min_size=1).map(
    lambda states: [make_host(name, state) for name, state in states.items()]
)


@given(old=lists, new=lists)
def test_changes_turn_the_old_list_into_the_new_one(
    old: list[HostEntry], new: list[HostEntry]
) -> None:
    reader, peer = HostView(), HostView()
    reader.take_list(old, now=0.0)
    peer.take_snapshot(reader.snapshot(now=0.0), now=0.0)
    changes = reader.take_list(new, now=1.0)
    if changes is not None:
        assert peer.take_changes(changes, now=1.0) is Taken.APPLIED
    assert set(peer.hosts) == set(new)
    assert peer.digest(now=1.0).digest == digest_hosts(new)


@given(own=lists, theirs=lists, own_age=st.integers(0, 5000), their_age=st.integers(0, 5000))
def test_an_earlier_change_never_replaces_a_later_one(
    own: list[HostEntry], theirs: list[HostEntry], own_age: int, their_age: int
) -> None:
    here, there = HostView(), HostView()
    here.take_list(own, now=-own_age / 1000)
    there.take_list(theirs, now=-their_age / 1000)
    changed = here.take_snapshot(there.snapshot(now=0.0), now=0.0)
    if their_age >= own_age:
        assert not changed
        assert set(here.hosts) == set(own)


@given(old=lists, new=lists)
def test_a_lagging_replica_does_not_undo_a_change(
    old: list[HostEntry], new: list[HostEntry]
) -> None:
    lagging = HostView()
    lagging.take_list(old, now=0.0)
    fresh = HostView()
    fresh.take_list(new, now=1.0)
    lagging.take_snapshot(fresh.snapshot(now=1.0), now=1.0)
    assert lagging.take_list(old, now=1.5) is None
    assert set(lagging.hosts) == set(new)
