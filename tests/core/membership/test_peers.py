"""Peers from the host list."""

from __future__ import annotations

import random

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from cornellead_core.membership import Peers
from cornellead_core.platform import HostEntry
from cornellead_core.platform import HostKind
from cornellead_core.platform import HostState


def _host(name: str, dc: str, state: HostState = HostState.LIVE) -> HostEntry:
    return HostEntry(name, HostKind.AGENT, "r", dc, f"{name}:1", f"{name}:2", state)


HOSTS = [_host(f"{dc}-{index}", dc) for dc in "abc" for index in range(4)]


def test_ranks_of_a_data_centre_are_unique() -> None:
    """Guards against a role that no process or every process takes."""
    ranks = [
        Peers(hosts=HOSTS, name=host.name, dc=host.dc).rank("key", dc="a")
        for host in HOSTS
        if host.dc == "a"
    ]
    assert sorted(ranks) == [0, 1, 2, 3]


def test_process_that_leaves_or_is_not_listed_takes_no_role() -> None:
    """Guards against a role held by a process that others cannot find."""
    hosts = [_host("a-0", "a", HostState.LEAVING), *HOSTS[1:4]]
    assert Peers(hosts=hosts, name="a-0", dc="a").rank("key", dc="a") == 3
    assert Peers(hosts=hosts, name="new", dc="a").rank("key", dc="a") == 3
    assert Peers(hosts=(), name="new", dc="a").rank("key") == 0


def test_leaving_processes_are_found_but_not_asked() -> None:
    """Guards against messages to a process that is about to end."""
    peers = Peers(hosts=[_host("a-0", "a", HostState.LEAVING), HOSTS[1]], name="b-0", dc="b")
    assert peers.find("a-0") is not None and peers.find("x") is None
    assert [host.name for host in peers.far] == ["a-1"] and len(peers) == 1


@given(
    count=st.integers(0, len(HOSTS)),
    near=st.integers(0, 5),
    far=st.integers(0, 5),
    seed=st.integers(0, 99),
)
@settings(derandomize=True)
def test_samples(count: int, near: int, far: int, seed: int) -> None:
    """Guards against messages to itself, to one peer twice, or to none although there is one."""
    peers = Peers(hosts=HOSTS[:count], name="a-0", dc="a")
    chosen = peers.sample(random.Random(seed), near=near, far=far)
    assert len(set(chosen)) == len(chosen) <= near + far
    assert "a-0" not in {host.name for host in chosen}
    assert bool(chosen) == (near + far > 0 and len(peers) > 0)
