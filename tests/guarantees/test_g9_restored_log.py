"""G9 after the log came back from an older copy: no change in force is undone, none is missed."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest
from tests.guarantees.fake_fleet import FakeFleet
from tests.guarantees.test_g9_configuration import CURRENT_FLEET
from tests.guarantees.test_g9_configuration import CURRENT_LIMIT_S
from tests.guarantees.test_g9_configuration import STEADY_STATE_S

from cornellead_core.facts import CONFIG

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterator

OUTAGES_S = (0.0, 2.0)


@pytest.fixture
def make_fleet() -> Iterator[Callable[..., FakeFleet]]:
    """Return a function that starts a fleet in which every process has applied one change."""
    fleets = []

    def make(*, seed: int, retention_s: float = 1e9) -> FakeFleet:
        fleet = FakeFleet(CURRENT_FLEET, seed=seed, retention_s=retention_s)
        fleets.append(fleet)
        fleet.publish({"model/first": {}})
        fleet.run(STEADY_STATE_S)
        return fleet

    yield make
    for fleet in fleets:
        fleet.close()


def _restore_without(fleet: FakeFleet, *names: str, outage_s: float) -> None:
    """Publish models, then restore the log from a copy that lacks them."""
    copy = list(fleet.log.all_records)
    for name in names:
        fleet.publish({f"model/{name}": {}})
        fleet.run(CURRENT_LIMIT_S)
    assert _models_in_force(fleet) >= set(names)
    fleet.log.down = outage_s > 0
    fleet.run(outage_s)
    fleet.log.restore(copy)
    fleet.log.down = False


def _models_in_force(fleet: FakeFleet) -> set[str]:
    """Return the models that every process has."""
    return set.intersection(*(set(node.board.read(CONFIG).models) for node in fleet.nodes.values()))


@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize("outage_s", OUTAGES_S)
def test_change_after_the_log_was_restored_is_in_force_in_time(
    make_fleet: Callable[..., FakeFleet], outage_s: float, seed: int
) -> None:
    """Guards against a change at an offset of the lost history that no process applies."""
    fleet = make_fleet(seed=seed)
    _restore_without(fleet, "a", "b", outage_s=outage_s)
    fleet.publish({"model/later": {}})
    fleet.run(CURRENT_LIMIT_S)
    assert "later" in _models_in_force(fleet)


@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize("outage_s", OUTAGES_S)
def test_change_in_force_is_not_undone_by_a_restored_log(
    make_fleet: Callable[..., FakeFleet], outage_s: float, seed: int
) -> None:
    """Guards against a confirmed change that is lost with the log's history."""
    fleet = make_fleet(seed=seed)
    _restore_without(fleet, "a", "b", outage_s=outage_s)
    for _ in range(20):
        fleet.run(0.5)
        assert _models_in_force(fleet) >= {"first", "a", "b"}
    last = fleet.log.state_by_offset[len(fleet.log.all_records) - 1]
    assert {"model/a", "model/b"} <= set(last.objects)
    for name in list(fleet.nodes):
        fleet.start(name)
    fleet.run(STEADY_STATE_S)
    assert _models_in_force(fleet) == {"first", "a", "b"}


@pytest.mark.parametrize("seed", range(3))
def test_later_change_of_a_lost_object_wins(
    make_fleet: Callable[..., FakeFleet], seed: int
) -> None:
    """Guards against a lost value that replaces what an operator wrote since."""
    fleet = make_fleet(seed=seed)
    fleet.publish({"data_centre/x": {"state": "in"}})
    fleet.run(CURRENT_LIMIT_S)
    copy = list(fleet.log.all_records)
    fleet.publish({"data_centre/x": {"state": "out"}})
    fleet.run(CURRENT_LIMIT_S)
    fleet.log.restore(copy)
    fleet.publish({"data_centre/x": {"state": "in"}})
    fleet.run(CURRENT_LIMIT_S)
    for _ in range(20):
        assert not any(node.board.read(CONFIG).out_of_service for node in fleet.nodes.values())
        fleet.run(0.5)
    assert len(fleet.log.all_records) == len(copy) + 1


@pytest.mark.parametrize("seed", range(3))
def test_lost_change_back_to_an_earlier_value_stays_in_force(
    make_fleet: Callable[..., FakeFleet], seed: int
) -> None:
    """Guards against a lost value that is taken for one that the copy held before."""
    fleet = make_fleet(seed=seed)
    for state in ("out", "in"):
        fleet.publish({"data_centre/x": {"state": state}})
        fleet.run(CURRENT_LIMIT_S)
    copy = list(fleet.log.all_records)
    fleet.publish({"data_centre/x": {"state": "out"}})
    fleet.run(CURRENT_LIMIT_S)
    fleet.log.restore(copy)
    for _ in range(20):
        assert all(node.board.read(CONFIG).out_of_service for node in fleet.nodes.values())
        fleet.run(0.5)


@pytest.mark.parametrize("seed", range(3))
def test_processes_without_the_log_learn_of_the_restore(
    make_fleet: Callable[..., FakeFleet], seed: int
) -> None:
    """Guards against two histories in a fleet of which a half cannot reach the log."""
    fleet = make_fleet(seed=seed)
    for name in fleet.rng.sample(sorted(fleet.nodes), len(fleet.nodes) // 2):
        fleet.nodes[name].log.disconnected = True
    _restore_without(fleet, "a", "b", outage_s=2.0)
    fleet.run(5.0)
    fleet.publish({"model/later": {}})
    fleet.run(CURRENT_LIMIT_S)
    assert _models_in_force(fleet) == {"first", "a", "b", "later"}


@pytest.mark.parametrize("seed", range(3))
def test_second_restore_undoes_nothing(make_fleet: Callable[..., FakeFleet], seed: int) -> None:
    """Guards against a lost change that is forgotten when the log comes back once more."""
    fleet = make_fleet(seed=seed)
    _restore_without(fleet, "a", outage_s=0.0)
    fleet.run(1.5)
    _restore_without(fleet, "b", outage_s=2.0)
    fleet.run(10.0)
    assert _models_in_force(fleet) == {"first", "a", "b"}
    last = fleet.log.state_by_offset[len(fleet.log.all_records) - 1]
    assert {"model/a", "model/b"} <= set(last.objects)


@pytest.mark.parametrize("seed", range(3))
def test_restored_log_that_begins_with_a_snapshot_is_followed(
    make_fleet: Callable[..., FakeFleet], seed: int
) -> None:
    """Guards against lost changes beside a copy that no longer has its first records."""
    fleet = make_fleet(seed=seed, retention_s=100.0)
    fleet.run(150.0)
    _restore_without(fleet, "a", "b", outage_s=2.0)
    fleet.run(10.0)
    assert fleet.log.all_records[0] not in fleet.log.retained
    fleet.publish({"model/later": {}})
    fleet.run(CURRENT_LIMIT_S)
    assert _models_in_force(fleet) == {"first", "a", "b", "later"}
    fleet.run(150.0)
    for name in list(fleet.nodes):
        fleet.start(name)
    fleet.run(STEADY_STATE_S)
    assert _models_in_force(fleet) == {"first", "a", "b", "later"}
