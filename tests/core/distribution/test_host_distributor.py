"""Tests of the host list gossip.

They guard against processes that miss a leaving host, and against every process reading the list
from the platform.
"""

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
from cornellead_core.distribution import ChangeResult
from cornellead_core.distribution import HostDistributor
from cornellead_core.distribution import HostView
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
    """Platform host list that can be made unavailable."""

    def __init__(self, hosts: list[HostEntry]) -> None:
        self.hosts = hosts
        self.down = False

    async def fetch(self) -> Result[list[HostEntry], PlatformError]:
        if self.down:
            return Failure(PlatformError("outage"))
        return Success(list(self.hosts))


class Fleet:
    """Distributors that exchange messages in memory, with message loss and one virtual clock."""

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
        reply = await node.handle(message)
        return Failure("lost") if reply is None else Success(reply)

    async def step(self) -> None:
        """Advance half a second: readers read the list, and all compare at every second step."""
        self.now += 0.5
        for name, node in self.nodes.items():
            if node.should_read_list():
                await node.refresh()
            if round(self.now * 2) % 2 == 0:
                peers = [host for host in self.boards[name].read(HOSTS) if host.name != name]
                if peers:
                    await node.compare_with(self.rng.choice(peers))
        for _ in range(20):
            await asyncio.sleep(0)

    def states(self, name: str) -> set[HostState | None]:
        """Return the distinct states of a host in the lists of all processes; None if absent."""
        found: set[HostState | None] = set()
        for board in self.boards.values():
            entry = {host.name: host for host in board.read(HOSTS)}.get(name)
            found.add(entry.state if entry else None)
        return found


@pytest.mark.parametrize("loss", [0.0, 0.2])
@pytest.mark.parametrize(("size", "seed"), [(40, seed) for seed in range(5)] + [(200, 5)])
async def test_leaving_host_reaches_all_processes_within_three_seconds(
    size: int, seed: int, loss: float
) -> None:
    fleet = Fleet(size=size, seed=seed, loss=loss)
    for _ in range(4):
        await fleet.step()
    fleet.platform.hosts[7] = make_host("h7", HostState.LEAVING, "b")
    for _ in range(6):
        await fleet.step()
    assert fleet.states("h7") == {HostState.LEAVING}


async def test_two_processes_per_data_centre_read_the_list() -> None:
    fleet = Fleet(size=40, seed=1, loss=0.0)
    for _ in range(4):
        await fleet.step()
    before = {name: node.reads for name, node in fleet.nodes.items()}
    for _ in range(20):
        await fleet.step()
    readers = [name for name, node in fleet.nodes.items() if node.reads > before[name]]
    assert len(readers) == 4


async def test_another_process_reads_the_list_when_both_readers_fail() -> None:
    fleet = Fleet(size=20, seed=2, loss=0.0)
    for _ in range(4):
        await fleet.step()
    before = {name: node.reads for name, node in fleet.nodes.items()}
    await fleet.step()
    for name in [name for name, node in fleet.nodes.items() if node.reads > before[name]]:
        del fleet.nodes[name]
        del fleet.boards[name]
    fleet.platform.hosts[:] = [host for host in fleet.platform.hosts if host.name in fleet.nodes]
    removed = {host.name for host in fleet.platform.hosts} ^ {f"h{n}" for n in range(20)}
    for _ in range(24):
        await fleet.step()
    assert all(fleet.states(name) == {None} for name in removed)


async def test_last_list_is_kept_during_a_platform_outage() -> None:
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
def test_changes_transform_the_old_list_into_the_new_one(
    old: list[HostEntry], new: list[HostEntry]
) -> None:
    reader, peer = HostView(), HostView()
    reader.apply_fetched_list(old, now=0.0)
    peer.apply_snapshot(reader.snapshot(now=0.0), now=0.0)
    changes = reader.apply_fetched_list(new, now=1.0)
    if changes is not None:
        assert peer.apply_changes(changes, now=1.0) is ChangeResult.APPLIED
    assert set(peer.hosts) == set(new)
    assert peer.digest(now=1.0).digest == digest_hosts(new)


@given(own=lists, theirs=lists, own_age=st.integers(0, 5000), their_age=st.integers(0, 5000))
def test_older_list_never_replaces_a_newer_one(
    own: list[HostEntry], theirs: list[HostEntry], own_age: int, their_age: int
) -> None:
    local, remote = HostView(), HostView()
    local.apply_fetched_list(own, now=-own_age / 1000)
    remote.apply_fetched_list(theirs, now=-their_age / 1000)
    changed = local.apply_snapshot(remote.snapshot(now=0.0), now=0.0)
    if their_age >= own_age:
        assert not changed
        assert set(local.hosts) == set(own)


@given(old=lists, new=lists)
def test_read_from_a_lagging_replica_does_not_undo_a_change(
    old: list[HostEntry], new: list[HostEntry]
) -> None:
    lagging = HostView()
    lagging.apply_fetched_list(old, now=0.0)
    fresh = HostView()
    fresh.apply_fetched_list(new, now=1.0)
    lagging.apply_snapshot(fresh.snapshot(now=1.0), now=1.0)
    assert lagging.apply_fetched_list(old, now=1.5) is None
    assert set(lagging.hosts) == set(new)
