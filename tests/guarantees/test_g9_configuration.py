"""G9: every process applies an accepted configuration change in time and never reverts it."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest
from hypothesis import HealthCheck
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine
from hypothesis.stateful import initialize
from hypothesis.stateful import invariant
from hypothesis.stateful import rule
from tests.guarantees.fake_fleet import FakeFleet

from cornellead_core.config import make_snapshot
from cornellead_core.facts import CONFIG

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterator

CURRENT_FLEET = {"a": 6, "b": 6, "c": 6}
"""Number of processes by data centre."""
TARGET_FLEET = {f"dc{index}": 95 for index in range(14)}
CURRENT_LIMIT_S = 2.0
"""Longest time from the append of a change until every process has applied it."""
TARGET_LIMIT_S = 8.0
MAX_BYTES_PER_S = 3000
"""Control traffic of one process, sent and received."""
STARTUP_S = 5.0
"""Time in which a process that reaches the log or a peer is ready."""
STEADY_STATE_S = 30.0
"""Time after a start until only designated processes read the log; at first every one does."""


@pytest.fixture
def make_fleet() -> Iterator[Callable[..., FakeFleet]]:
    """Return a function that starts a fleet in which every process has applied one change."""
    fleets = []

    def make(
        sizes: dict[str, int] = CURRENT_FLEET,
        *,
        startup_s: float = STEADY_STATE_S,
        **options: float,
    ) -> FakeFleet:
        fleet = FakeFleet(sizes, **options)  # type: ignore[arg-type]
        fleets.append(fleet)
        fleet.publish({"model/first": {}})
        fleet.run(startup_s)
        assert fleet.min_offset == 0
        return fleet

    yield make
    for fleet in fleets:
        fleet.close()


@pytest.mark.parametrize("seed", range(5))
def test_change_applies_within_limit_in_current_fleet(
    make_fleet: Callable[..., FakeFleet], seed: int
) -> None:
    """Guards against a change that reaches a process late or causes too much control traffic."""
    fleet = make_fleet(seed=seed)
    before = {name: node.traffic.total_bytes for name, node in fleet.nodes.items()}
    started_at = fleet.loop.time()
    for _ in range(5):
        fleet.run_until_all_apply(fleet.publish({"model/m": {}}), timeout_s=CURRENT_LIMIT_S)
        fleet.run(2.0)
    for name, node in fleet.nodes.items():
        bytes_per_s = (node.traffic.total_bytes - before[name]) / (fleet.loop.time() - started_at)
        assert bytes_per_s <= MAX_BYTES_PER_S, name


def test_change_applies_within_limit_in_target_fleet(make_fleet: Callable[..., FakeFleet]) -> None:
    """Guards against delay or traffic per process that is too high with 1,330 processes."""
    fleet = make_fleet(TARGET_FLEET, startup_s=STARTUP_S)
    before = {name: node.traffic.total_bytes for name, node in fleet.nodes.items()}
    started_at = fleet.loop.time()
    fleet.run_until_all_apply(fleet.publish({"model/m": {}}), timeout_s=TARGET_LIMIT_S)
    fleet.run(3.0)
    elapsed = fleet.loop.time() - started_at
    byte_counts = [node.traffic.total_bytes - before[name] for name, node in fleet.nodes.items()]
    assert max(byte_counts) / elapsed <= MAX_BYTES_PER_S


@pytest.mark.parametrize("seed", range(8))
def test_change_applies_when_half_cannot_reach_log(
    make_fleet: Callable[..., FakeFleet], seed: int
) -> None:
    """Guards against processes that wait for peers which cannot read the log either."""
    fleet = make_fleet(seed=seed)
    for name in fleet.rng.sample(sorted(fleet.nodes), len(fleet.nodes) // 2):
        fleet.nodes[name].log.disconnected = True
    fleet.run_until_all_apply(fleet.publish({"model/m": {}}), timeout_s=CURRENT_LIMIT_S)


@pytest.mark.parametrize("seed", range(2))
@pytest.mark.parametrize("size", [3, 4, 6])
@pytest.mark.parametrize("wait_s", [0.0, 0.7, 60.0])
def test_change_applies_when_designated_readers_cannot_reach_log(
    make_fleet: Callable[..., FakeFleet], wait_s: float, size: int, seed: int
) -> None:
    """Guards against a fleet in which no process takes over from failed designated readers."""
    fleet = make_fleet(dict.fromkeys("abc", size), seed=seed)
    for node in fleet.nodes.values():
        node.log.disconnected = node.distributor.is_designated_log_reader
    fleet.run(wait_s)
    fleet.run_until_all_apply(fleet.publish({"model/m": {}}), timeout_s=CURRENT_LIMIT_S)


def test_first_of_conflicting_changes_wins(make_fleet: Callable[..., FakeFleet]) -> None:
    """Guards against accepting two changes from one base, and against processes that differ."""
    fleet = make_fleet()
    base = len(fleet.log.all_records) - 1
    for author in ("ana", "ben", "cleo"):
        value = {"description": author}
        last_offset = fleet.publish({"model/m": value}, base=base, author=author)
    other_offset = fleet.publish({"model/other": {}}, base=base)
    fleet.run_until_all_apply(other_offset, timeout_s=CURRENT_LIMIT_S)
    for node in fleet.nodes.values():
        state = node.distributor.store.state
        model = state.objects["model/m"]
        assert (model.author, model.version) == ("ana", base + 1)
        rejected = [verdict for verdict in state.recent_decisions if verdict.reason]
        assert [verdict.offset for verdict in rejected] == [base + 2, last_offset]
        assert all("changed by ana at version" in verdict.reason for verdict in rejected)
        assert "model/other" in state.objects


def test_duplicate_record_is_rejected(make_fleet: Callable[..., FakeFleet]) -> None:
    """Guards against an append retried after a lost response that undoes a later change."""
    fleet = make_fleet()
    first = fleet.publish({"model/m": {"description": "old"}})
    fleet.publish({"model/m": None})
    copy_offset = fleet.log.append_record(fleet.log.all_records[first].value)
    fleet.run_until_all_apply(copy_offset, timeout_s=CURRENT_LIMIT_S)
    for node in fleet.nodes.values():
        assert "m" not in node.board.read(CONFIG).models


def test_restart_in_log_outage_adopts_state_of_peers(make_fleet: Callable[..., FakeFleet]) -> None:
    """Guards against a process that starts with an older configuration than its peers have."""
    fleet = make_fleet()
    offset = fleet.publish({"data_centre/b": {"state": "out"}})
    fleet.run_until_all_apply(offset, timeout_s=CURRENT_LIMIT_S)
    fleet.log.down = True
    for name in list(fleet.nodes):
        fleet.start(name)
        fleet.run_until_all_apply(offset, timeout_s=STARTUP_S)
    assert all(node.board.read(CONFIG).out_of_service == {"b"} for node in fleet.nodes.values())


def test_start_without_log_and_peers_is_not_ready(make_fleet: Callable[..., FakeFleet]) -> None:
    """Guards against a process that becomes ready with an empty configuration."""
    fleet = make_fleet()
    fleet.log.down = True
    fleet.network.partition_by_node["a-0"] = 1
    node = fleet.start("a-0")
    fleet.run(STARTUP_S)
    assert node.offset == -1
    fleet.network.partition_by_node.clear()
    fleet.run_until_all_apply(0, timeout_s=STARTUP_S)


def test_start_is_not_ready_before_end_of_log() -> None:
    """Guards against a process that becomes ready with a part of the log when the log fails."""
    fleet = FakeFleet({"a": 1})
    for _ in range(700):
        fleet.publish({"model/m": {}})
    while fleet.nodes["a-0"].distributor.store.offset < 0:
        fleet.run(0.001)
    fleet.log.down = True
    assert fleet.nodes["a-0"].distributor.store.offset < 699
    fleet.run(STARTUP_S)
    assert fleet.min_offset == -1
    fleet.log.down = False
    fleet.run_until_all_apply(699, timeout_s=CURRENT_LIMIT_S)
    fleet.close()


def test_start_adopts_highest_offset_among_peers(make_fleet: Callable[..., FakeFleet]) -> None:
    """Guards against a start from the first peer that responds while another has a later state."""
    fleet = make_fleet({"a": 3, "b": 1})
    fleet.network.partition_by_node.update({"a-1": 1, "a-2": 2})
    for name in ("a-1", "a-2"):
        fleet.nodes[name].log.disconnected = True
    offset = fleet.publish({"model/m": {}})
    fleet.run(1.0)
    fleet.log.down = True
    # The stale peers become reachable as well; a-0 must not stop at the first state it gets.
    fleet.network.partition_by_node.clear()
    node = fleet.start("a-0")
    while node.offset == -1:
        fleet.run(0.01)
    assert node.offset == offset


def test_process_isolated_from_peers_reads_log(make_fleet: Callable[..., FakeFleet]) -> None:
    """Guards against a process that waits for changes from peers that it cannot reach."""
    fleet = make_fleet()
    non_readers = [
        name for name, node in fleet.nodes.items() if not node.distributor.is_designated_log_reader
    ]
    fleet.network.partition_by_node[non_readers[0]] = 1
    fleet.run(10.0)
    fleet.run_until_all_apply(fleet.publish({"model/m": {}}), timeout_s=CURRENT_LIMIT_S)


def test_data_centre_catches_up_after_partition(make_fleet: Callable[..., FakeFleet]) -> None:
    """Guards against a data centre that stays stale after a partition from peers and log."""
    fleet = make_fleet()
    for name, node in fleet.nodes.items():
        if node.entry.dc == "c":
            fleet.network.partition_by_node[name] = 1
            node.log.disconnected = True
    offset = fleet.publish({"model/m": {}})
    fleet.run(300.0)
    assert {node.offset for node in fleet.nodes.values()} == {0, offset}
    fleet.network.partition_by_node.clear()
    fleet.run_until_all_apply(offset, timeout_s=CURRENT_LIMIT_S)


def test_snapshot_is_appended_before_records_expire(make_fleet: Callable[..., FakeFleet]) -> None:
    """Guards against a log whose retained records no longer contain the whole configuration."""
    fleet = make_fleet(retention_s=100.0)
    fleet.publish({"data_centre/b": {"state": "out"}})
    for _ in range(30):
        fleet.run(20.0)
        page = fleet.run_coroutine(fleet.log.read("config", from_offset=0)).unwrap()
        usable_snapshots = [
            record
            for record in page.records
            if record.value["kind"] == "snapshot" and record.value["upto"] + 1 >= page.oldest_offset
        ]
        assert page.oldest_offset == 0 or usable_snapshots
    assert len(fleet.log.all_records) <= 2 + 600 / 60 + 1, "more than one snapshot per period"
    for name in list(fleet.nodes):
        fleet.stop(name)
    node = fleet.start("a-0")
    fleet.run(STARTUP_S)
    assert node.board.read(CONFIG).out_of_service == {"b"}


def test_snapshot_that_differs_from_log_is_ignored(make_fleet: Callable[..., FakeFleet]) -> None:
    """Guards against accepting a snapshot that differs from its digest or from the log."""
    fleet = make_fleet(retention_s=100.0)
    fleet.publish({"data_centre/b": {"state": "out"}})
    fleet.run(40.0)
    state = fleet.log.state_by_offset[1]
    wrong_snapshot = make_snapshot(state._replace(objects={}))
    fleet.log.append_record({**wrong_snapshot, "digest": make_snapshot(state)["digest"]})
    fleet.log.append_record(wrong_snapshot)
    fleet.run(100.0)
    assert all(node.distributor.store.snapshots_ignored == 2 for node in fleet.nodes.values())
    for name in list(fleet.nodes):
        fleet.start(name)
    fleet.run(STARTUP_S)
    assert all(node.board.read(CONFIG).out_of_service == {"b"} for node in fleet.nodes.values())


NODE_INDEXES = st.sets(st.integers(0, 8), min_size=1, max_size=6)
OBJECT_NAMES = st.sampled_from(["model/m", "model/n", "data_centre/a", "team/t", "crew/x"])
OBJECT_VALUES = st.sampled_from([None, {}, {"description": "d"}, {"state": "out"}, {"state": "in"}])


class ConfigDistributionMachine(RuleBasedStateMachine):
    """Nine processes under random combinations of all faults; two of them never restart."""

    @initialize(seed=st.integers(0, 1 << 16))
    def start(self, seed: int) -> None:
        """Start a fleet in which every process has applied one change."""
        self.fleet = FakeFleet({"a": 3, "b": 3, "c": 3}, seed=seed, retention_s=2000.0)
        self.names = sorted(self.fleet.hosts)
        self.fleet.publish({"model/first": {}})
        self.fleet.run(STARTUP_S)

    def teardown(self) -> None:
        """Remove all faults and check that every process applies the next change in time."""
        if not hasattr(self, "fleet"):
            return
        fleet = self.fleet
        fleet.log.down = fleet.host_list_down = False
        network = fleet.network
        network.loss, network.duplicates, network.max_delay_s = 0.0, 0.0, 0.004
        network.partition_by_node.clear()
        fleet.publish_hosts()
        for name in self.names:
            if name not in fleet.nodes:
                fleet.start(name)
            fleet.nodes[name].log.disconnected = False
        fleet.run(2 * STARTUP_S)
        fleet.run_until_all_apply(fleet.publish({"model/last": {}}), timeout_s=CURRENT_LIMIT_S)
        self.check_states_match_reducer()
        fleet.close()

    @rule(
        name=OBJECT_NAMES,
        value=OBJECT_VALUES,
        base_lag=st.integers(0, 4),
        author=st.sampled_from("ab"),
    )
    def publish(self, name: str, value: dict[str, str] | None, base_lag: int, author: str) -> None:
        """Publish a valid or invalid change, possibly based on an old version."""
        base = max(-1, len(self.fleet.log.all_records) - 1 - base_lag)
        self.fleet.publish({name: value}, base=base, author=author)

    @rule(index=st.integers(0, 20))
    def append_duplicate(self, index: int) -> None:
        """Append a copy of a record, as a retry after a lost append response does."""
        records = self.fleet.log.all_records
        self.fleet.log.append_record(records[index % len(records)].value)

    @rule(value=st.dictionaries(st.sampled_from(["kind", "base", "upto"]), st.none() | st.text()))
    def append_malformed(self, value: dict[str, str | None]) -> None:
        """Append a record that is neither a change nor a snapshot."""
        self.fleet.log.append_record(value)

    @rule(indexes=NODE_INDEXES, cut=st.booleans())
    def cut_off_from_log(self, indexes: set[int], cut: bool) -> None:
        """Disconnect processes from the log, or reconnect them."""
        for index in indexes:
            node = self.fleet.nodes.get(self.names[index])
            if node is not None:
                node.log.disconnected = cut

    @rule(down=st.booleans())
    def set_log_outage(self, down: bool) -> None:
        """Begin or end an outage of the log for all processes."""
        self.fleet.log.down = down

    @rule(indexes=NODE_INDEXES)
    def partition(self, indexes: set[int]) -> None:
        """Partition the network between some processes and the others; heals any earlier one."""
        self.fleet.network.partition_by_node = {self.names[index]: 1 for index in indexes}

    @rule(
        loss=st.sampled_from([0.0, 0.2, 0.6]),
        duplicates=st.sampled_from([0.0, 0.5]),
        delay_s=st.sampled_from([0.004, 0.4, 3.0]),
    )
    def set_network_faults(self, loss: float, duplicates: float, delay_s: float) -> None:
        """Set the rates of lost and duplicated messages and the delay, which reorders messages."""
        network = self.fleet.network
        network.loss, network.duplicates, network.max_delay_s = loss, duplicates, delay_s

    @rule(index=st.integers(2, 8), start=st.booleans())
    def restart(self, index: int, start: bool) -> None:
        """Kill a process and optionally start it again."""
        self.fleet.stop(self.names[index])
        if start:
            self.fleet.start(self.names[index])

    @rule(seconds=st.sampled_from([0.01, 0.3, 2.0, 10.0]))
    def advance_time(self, seconds: float) -> None:
        """Advance the virtual time."""
        self.fleet.run(seconds)

    @invariant()
    def check_states_match_reducer(self) -> None:
        """Check that every process has the state that the reducer computes at its offset."""
        if not hasattr(self, "fleet"):
            return
        for node in self.fleet.nodes.values():
            state = node.distributor.store.state
            assert state == self.fleet.log.state_by_offset[state.offset]


TestConfigDistribution = ConfigDistributionMachine.TestCase
TestConfigDistribution.settings = settings(
    max_examples=30,
    stateful_step_count=30,
    derandomize=True,
    deadline=None,
    suppress_health_check=list(HealthCheck),
)
