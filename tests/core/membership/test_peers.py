"""Ranks, look-ups and random samples of the peers in a host list."""

from __future__ import annotations

import random

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from cornellead_core.membership import Peers
from cornellead_core.platform import HostEntry
from cornellead_core.platform import HostKind
from cornellead_core.platform import HostState


def make_host(name: str, dc: str, state: HostState = HostState.LIVE) -> HostEntry:
    return HostEntry(name, HostKind.AGENT, "r", dc, f"{name}:1", f"{name}:2", state)


HOSTS = [make_host(f"{dc}-{index}", dc) for dc in "abc" for index in range(4)]


def test_ranks_of_a_data_centre_are_unique() -> None:
    """Guards against a role that no process has, or several have at the same time."""
    ranks = [
        Peers(hosts=HOSTS, name=host.name, dc=host.dc).rank("key", dc="a")
        for host in HOSTS
        if host.dc == "a"
    ]
    assert sorted(ranks) == [0, 1, 2, 3]


def test_leaving_or_unlisted_process_ranks_last() -> None:
    """Guards against assigning a role to a process that its peers do not list as live."""
    hosts = [make_host("a-0", "a", HostState.LEAVING), *HOSTS[1:4]]
    assert Peers(hosts=hosts, name="a-0", dc="a").rank("key", dc="a") == 3
    assert Peers(hosts=hosts, name="new", dc="a").rank("key", dc="a") == 3
    assert Peers(hosts=(), name="new", dc="a").rank("key") == 0


def test_leaving_processes_are_found_but_not_peers() -> None:
    """Guards against sending messages to a process that is about to exit."""
    peers = Peers(hosts=[make_host("a-0", "a", HostState.LEAVING), HOSTS[1]], name="b-0", dc="b")
    assert peers.find("a-0") is not None and peers.find("x") is None
    assert [host.name for host in peers.remote_peers] == ["a-1"] and len(peers) == 1


@given(
    count=st.integers(0, len(HOSTS)),
    near=st.integers(0, 5),
    far=st.integers(0, 5),
    seed=st.integers(0, 99),
)
@settings(derandomize=True)
def test_sample_is_distinct_and_excludes_itself(count: int, near: int, far: int, seed: int) -> None:
    """Guards against sampling itself, a peer twice, or no peer although there is one."""
    peers = Peers(hosts=HOSTS[:count], name="a-0", dc="a")
    sampled = peers.sample(random.Random(seed), near=near, far=far)
    assert len(set(sampled)) == len(sampled) <= near + far
    assert "a-0" not in {host.name for host in sampled}
    assert bool(sampled) == (near + far > 0 and len(peers) > 0)
