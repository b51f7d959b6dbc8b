"""G9: an accepted configuration is in force everywhere and never reverts."""

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

TODAY = {"a": 6, "b": 6, "c": 6}
TARGET = {f"dc{index}": 95 for index in range(14)}
TODAY_LIMIT_S = 2.0
TARGET_LIMIT_S = 8.0
MAX_BYTES_PER_S = 3000
SETTLE_S = 5.0
STEADY_S = 30.0
"""Time after which no process still reads the log because of its own start."""


@pytest.fixture
def make_fleet() -> Iterator[Callable[..., FakeFleet]]:
    """Return a function that starts a fleet with one change in force."""
    fleets = []

    def make(
        sizes: dict[str, int] = TODAY, *, settle_s: float = STEADY_S, **options: float
    ) -> FakeFleet:
        fleet = FakeFleet(sizes, **options)  # type: ignore[arg-type]
        fleets.append(fleet)
        fleet.publish({"model/first": {}})
        fleet.run(settle_s)
        assert fleet.lowest_offset == 0
        return fleet

    yield make
    for fleet in fleets:
        fleet.close()


@pytest.mark.parametrize("seed", range(5))
def test_change_is_in_force_in_time_at_todays_size(
    make_fleet: Callable[..., FakeFleet], seed: int
) -> None:
    """Guards against a change that reaches some process late, or costs too much traffic."""
    fleet = make_fleet(seed=seed)
    before = {name: node.traffic.total_bytes for name, node in fleet.nodes.items()}
    started = fleet.loop.time()
    for _ in range(5):
        fleet.run_until_all_at(fleet.publish({"model/m": {}}), limit_s=TODAY_LIMIT_S)
        fleet.run(2.0)
    for name, node in fleet.nodes.items():
        rate = (node.traffic.total_bytes - before[name]) / (fleet.loop.time() - started)
        assert rate <= MAX_BYTES_PER_S, name


def test_change_is_in_force_in_time_at_target_size(make_fleet: Callable[..., FakeFleet]) -> None:
    """Guards against spreading that slows down or grows in traffic with 1,330 processes."""
    fleet = make_fleet(TARGET, settle_s=SETTLE_S)
    before = {name: node.traffic.total_bytes for name, node in fleet.nodes.items()}
    started = fleet.loop.time()
    fleet.run_until_all_at(fleet.publish({"model/m": {}}), limit_s=TARGET_LIMIT_S)
    fleet.run(3.0)
    elapsed = fleet.loop.time() - started
    rates = [node.traffic.total_bytes - before[name] for name, node in fleet.nodes.items()]
    assert max(rates) / elapsed <= MAX_BYTES_PER_S


@pytest.mark.parametrize("seed", range(8))
def test_half_the_processes_cut_off_from_the_log(
    make_fleet: Callable[..., FakeFleet], seed: int
) -> None:
    """Guards against processes that wait for readers of the log that cannot reach it."""
    fleet = make_fleet(seed=seed)
    for name in fleet.rng.sample(sorted(fleet.nodes), len(fleet.nodes) // 2):
        fleet.nodes[name].log.cut = True
    fleet.run_until_all_at(fleet.publish({"model/m": {}}), limit_s=TODAY_LIMIT_S)


@pytest.mark.parametrize("seed", range(2))
@pytest.mark.parametrize("size", [3, 4, 6])
@pytest.mark.parametrize("wait_s", [0.0, 0.7, 60.0])
def test_readers_of_the_log_cut_off(
    make_fleet: Callable[..., FakeFleet], wait_s: float, size: int, seed: int
) -> None:
    """Guards against a fleet that stands still because its designated readers fail."""
    fleet = make_fleet(dict.fromkeys("abc", size), seed=seed)
    for node in fleet.nodes.values():
        node.log.cut = node.distributor.reads_log_by_rank
    fleet.run(wait_s)
    fleet.run_until_all_at(fleet.publish({"model/m": {}}), limit_s=TODAY_LIMIT_S)


def test_racing_operators(make_fleet: Callable[..., FakeFleet]) -> None:
    """Guards against two accepted changes from one base, and against processes that disagree."""
    fleet = make_fleet()
    base = len(fleet.log.all) - 1
    for author in ("ana", "ben", "cleo"):
        value = {"description": author}
        last = fleet.publish({"model/m": value}, base=base, author=author)
    other = fleet.publish({"model/other": {}}, base=base)
    fleet.run_until_all_at(other, limit_s=TODAY_LIMIT_S)
    for node in fleet.nodes.values():
        state = node.distributor.store.state
        model = state.objects["model/m"]
        assert (model.author, model.version) == ("ana", base + 1)
        rejected = [verdict for verdict in state.recent if verdict.reason]
        assert [verdict.offset for verdict in rejected] == [base + 2, last]
        assert all("changed by ana at version" in verdict.reason for verdict in rejected)
        assert "model/other" in state.objects


def test_change_that_is_twice_in_the_log_applies_once(
    make_fleet: Callable[..., FakeFleet],
) -> None:
    """Guards against a retry after a lost append answer that undoes a later change."""
    fleet = make_fleet()
    first = fleet.publish({"model/m": {"description": "old"}})
    fleet.publish({"model/m": None})
    copy = fleet.log.store(fleet.log.all[first].value)
    fleet.run_until_all_at(copy, limit_s=TODAY_LIMIT_S)
    for node in fleet.nodes.values():
        assert "m" not in node.board.read(CONFIG).models


def test_restart_during_an_outage_of_the_log(make_fleet: Callable[..., FakeFleet]) -> None:
    """Guards against a process that starts with an older configuration than its peers have."""
    fleet = make_fleet()
    offset = fleet.publish({"data_centre/b": {"state": "out"}})
    fleet.run_until_all_at(offset, limit_s=TODAY_LIMIT_S)
    fleet.log.down = True
    for name in list(fleet.nodes):
        fleet.start(name)
        fleet.run_until_all_at(offset, limit_s=SETTLE_S)
    assert all(node.board.read(CONFIG).out_of_service == {"b"} for node in fleet.nodes.values())


def test_start_with_neither_log_nor_peers_is_not_ready(
    make_fleet: Callable[..., FakeFleet],
) -> None:
    """Guards against a process that serves an empty configuration because it found none."""
    fleet = make_fleet()
    fleet.log.down = True
    fleet.network.sides["a-0"] = 1
    node = fleet.start("a-0")
    fleet.run(SETTLE_S)
    assert node.offset == -1
    fleet.network.sides.clear()
    fleet.run_until_all_at(0, limit_s=SETTLE_S)


def test_start_waits_for_the_end_of_the_log() -> None:
    """Guards against a process that serves what it had read when the log failed."""
    fleet = FakeFleet({"a": 1})
    for _ in range(700):
        fleet.publish({"model/m": {}})
    while fleet.nodes["a-0"].distributor.store.offset < 0:
        fleet.run(0.001)
    fleet.log.down = True
    assert fleet.nodes["a-0"].distributor.store.offset < 699
    fleet.run(SETTLE_S)
    assert fleet.lowest_offset == -1
    fleet.log.down = False
    fleet.run_until_all_at(699, limit_s=TODAY_LIMIT_S)
    fleet.close()


def test_start_takes_the_highest_of_stale_peers(make_fleet: Callable[..., FakeFleet]) -> None:
    """Guards against a start from the first peer that answers, although another knows more."""
    fleet = make_fleet({"a": 3, "b": 1})
    fleet.network.sides.update({"a-1": 1, "a-2": 2})
    for name in ("a-1", "a-2"):
        fleet.nodes[name].log.cut = True
    offset = fleet.publish({"model/m": {}})
    fleet.run(1.0)
    fleet.log.down = True
    # From here on the processes that lag can be reached, too, but they answer first.
    fleet.network.sides.clear()
    node = fleet.start("a-0")
    while node.offset == -1:
        fleet.run(0.01)
    assert node.offset == offset


def test_isolated_process_reads_the_log(make_fleet: Callable[..., FakeFleet]) -> None:
    """Guards against a process that relies on peers which it cannot reach."""
    fleet = make_fleet()
    others = [name for name, node in fleet.nodes.items() if not node.distributor.reads_log_by_rank]
    fleet.network.sides[others[0]] = 1
    fleet.run(10.0)
    fleet.run_until_all_at(fleet.publish({"model/m": {}}), limit_s=TODAY_LIMIT_S)


def test_partition_between_data_centres_heals(make_fleet: Callable[..., FakeFleet]) -> None:
    """Guards against a side without the log that stays behind after the partition."""
    fleet = make_fleet()
    for name, node in fleet.nodes.items():
        if node.entry.dc == "c":
            fleet.network.sides[name] = 1
            node.log.cut = True
    offset = fleet.publish({"model/m": {}})
    fleet.run(300.0)
    assert {node.offset for node in fleet.nodes.values()} == {0, offset}
    fleet.network.sides.clear()
    fleet.run_until_all_at(offset, limit_s=TODAY_LIMIT_S)


def test_snapshot_is_appended_before_records_are_dropped(
    make_fleet: Callable[..., FakeFleet],
) -> None:
    """Guards against a log from which a new process can no longer learn the configuration."""
    fleet = make_fleet(retention_s=100.0)
    fleet.publish({"data_centre/b": {"state": "out"}})
    for _ in range(30):
        fleet.run(20.0)
        page = fleet.complete(fleet.log.read("config", from_offset=0)).unwrap()
        usable = [
            record
            for record in page.records
            if record.value["kind"] == "snapshot" and record.value["upto"] + 1 >= page.oldest_offset
        ]
        assert page.oldest_offset == 0 or usable
    assert len(fleet.log.all) <= 2 + 600 / 60 + 1, "more than one snapshot at a time"
    for name in list(fleet.nodes):
        fleet.stop(name)
    node = fleet.start("a-0")
    fleet.run(SETTLE_S)
    assert node.board.read(CONFIG).out_of_service == {"b"}


def test_snapshot_with_a_wrong_digest_is_ignored(make_fleet: Callable[..., FakeFleet]) -> None:
    """Guards against a wrong snapshot that counts as a valid one, or that a process starts from."""
    fleet = make_fleet(retention_s=100.0)
    fleet.publish({"data_centre/b": {"state": "out"}})
    fleet.run(40.0)
    state = fleet.log.states[1]
    wrong = make_snapshot(state._replace(objects={}))
    fleet.log.store({**wrong, "digest": make_snapshot(state)["digest"]})
    fleet.log.store(wrong)
    fleet.run(100.0)
    assert all(node.distributor.store.snapshots_ignored == 2 for node in fleet.nodes.values())
    for name in list(fleet.nodes):
        fleet.start(name)
    fleet.run(SETTLE_S)
    assert all(node.board.read(CONFIG).out_of_service == {"b"} for node in fleet.nodes.values())


NODES = st.sets(st.integers(0, 8), min_size=1, max_size=6)
NAMES = st.sampled_from(["model/m", "model/n", "data_centre/a", "team/t", "crew/x"])
VALUES = st.sampled_from([None, {}, {"description": "d"}, {"state": "out"}, {"state": "in"}])


class Distribution(RuleBasedStateMachine):
    """Nine processes under every fault at once; two of them never restart."""

    @initialize(seed=st.integers(0, 1 << 16))
    def start(self, seed: int) -> None:
        """Start a fleet with one change in force."""
        self.fleet = FakeFleet({"a": 3, "b": 3, "c": 3}, seed=seed, retention_s=2000.0)
        self.names = sorted(self.fleet.hosts)
        self.fleet.publish({"model/first": {}})
        self.fleet.run(SETTLE_S)

    def teardown(self) -> None:
        """Remove every fault; then the next change must be in force in time."""
        if not hasattr(self, "fleet"):
            return
        fleet = self.fleet
        fleet.log.down = fleet.hosts_down = False
        network = fleet.network
        network.loss, network.duplicates, network.max_delay_s = 0.0, 0.0, 0.004
        network.sides.clear()
        fleet.publish_hosts()
        for name in self.names:
            if name not in fleet.nodes:
                fleet.start(name)
            fleet.nodes[name].log.cut = False
        fleet.run(2 * SETTLE_S)
        fleet.run_until_all_at(fleet.publish({"model/last": {}}), limit_s=TODAY_LIMIT_S)
        self.states_are_those_of_the_reducer()
        fleet.close()

    @rule(name=NAMES, value=VALUES, lag=st.integers(0, 4), author=st.sampled_from("ab"))
    def publish(self, name: str, value: dict[str, str] | None, lag: int, author: str) -> None:
        """Publish a valid or invalid change, possibly from an old base."""
        base = max(-1, len(self.fleet.log.all) - 1 - lag)
        self.fleet.publish({name: value}, base=base, author=author)

    @rule(index=st.integers(0, 20))
    def append_again(self, index: int) -> None:
        """Append a copy of a record, as after a lost append answer."""
        records = self.fleet.log.all
        self.fleet.log.store(records[index % len(records)].value)

    @rule(value=st.dictionaries(st.sampled_from(["kind", "base", "upto"]), st.none() | st.text()))
    def append_malformed(self, value: dict[str, str | None]) -> None:
        """Append a record that is neither a change nor a snapshot."""
        self.fleet.log.store(value)

    @rule(chosen=NODES, cut=st.booleans())
    def cut_off_from_log(self, chosen: set[int], cut: bool) -> None:
        """Cut processes off from the log, or connect them again."""
        for index in chosen:
            node = self.fleet.nodes.get(self.names[index])
            if node is not None:
                node.log.cut = cut

    @rule(down=st.booleans())
    def log_outage(self, down: bool) -> None:
        """Begin or end an outage of the log for all."""
        self.fleet.log.down = down

    @rule(chosen=NODES)
    def partition(self, chosen: set[int]) -> None:
        """Separate some processes from the others."""
        self.fleet.network.sides = {self.names[index]: 1 for index in chosen}

    @rule(
        loss=st.sampled_from([0.0, 0.2, 0.6]),
        duplicates=st.sampled_from([0.0, 0.5]),
        delay_s=st.sampled_from([0.004, 0.4, 3.0]),
    )
    def disturb_network(self, loss: float, duplicates: float, delay_s: float) -> None:
        """Lose, repeat, delay and thereby reorder messages."""
        network = self.fleet.network
        network.loss, network.duplicates, network.max_delay_s = loss, duplicates, delay_s

    @rule(index=st.integers(2, 8), start=st.booleans())
    def restart(self, index: int, start: bool) -> None:
        """End a process without notice, and perhaps start it again."""
        self.fleet.stop(self.names[index])
        if start:
            self.fleet.start(self.names[index])

    @rule(seconds=st.sampled_from([0.01, 0.3, 2.0, 10.0]))
    def wait(self, seconds: float) -> None:
        """Let time pass."""
        self.fleet.run(seconds)

    @invariant()
    def states_are_those_of_the_reducer(self) -> None:
        """Compare every process with the state that the log gives at its offset."""
        if not hasattr(self, "fleet"):
            return
        for node in self.fleet.nodes.values():
            state = node.distributor.store.state
            assert state == self.fleet.log.states[state.offset]


TestDistribution = Distribution.TestCase
TestDistribution.settings = settings(
    max_examples=30,
    stateful_step_count=30,
    derandomize=True,
    deadline=None,
    suppress_health_check=list(HealthCheck),
)
