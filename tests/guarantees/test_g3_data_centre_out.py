"""G3: a data centre that operators took out of service receives no new requests."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import pytest
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
from tests.guarantees.admission import CAPACITY
from tests.guarantees.admission import choose_engines
from tests.guarantees.admission import make_admission_controller
from tests.guarantees.fake_fleet import MODEL
from tests.guarantees.fake_fleet import FakeFleet

from cornellead_agent.admission import AdmissionRequest
from cornellead_core.blackboard import Blackboard
from cornellead_core.config import EMPTY_CONFIG
from cornellead_core.facts import CONFIG
from cornellead_core.load import DEFAULT_BOUND
from cornellead_core.load import LoadTable
from cornellead_core.outcomes import RefusalReason

if TYPE_CHECKING:
    from collections.abc import Iterator

PROPAGATION_LIMIT_S = 3.0
SETTLE_TIME_S = 30.0
"""Time after a start until only designated processes read the log; at first every one does."""


@pytest.fixture
def fleet(request: pytest.FixtureRequest) -> Iterator[FakeFleet]:
    """Return a fleet in three data centres with one change in force."""
    fleet = FakeFleet({"a": 5, "b": 5, "c": 5}, seed=getattr(request, "param", 1))
    fleet.publish({f"model/{MODEL}": {}})
    fleet.run(SETTLE_TIME_S)
    assert fleet.min_offset == 0
    yield fleet
    fleet.close()


def _check_no_new_work(fleet: FakeFleet, dc: str) -> None:
    for name, node in fleet.nodes.items():
        chosen = choose_engines(node.board)
        assert not [engine for engine, host in chosen.items() if host.dc == dc], name
        if node.entry.dc == dc:
            admission = make_admission_controller(node.board, name=name, dc=dc)
            refusal = admission.admit(AdmissionRequest(), chat=None, now=0.0)
            assert refusal is not None and refusal.reason is RefusalReason.OUT_OF_SERVICE, name


@pytest.mark.parametrize("fleet", range(6), indirect=True)
def test_out_of_service_with_half_the_processes_cut_off_from_the_log(fleet: FakeFleet) -> None:
    """Guards against processes that miss the change because they cannot read the log themselves."""
    for name in fleet.rng.sample(sorted(fleet.nodes), len(fleet.nodes) // 2):
        fleet.nodes[name].log.disconnected = True
    fleet.publish({"data_centre/b": {"state": "out"}})
    fleet.run(PROPAGATION_LIMIT_S)
    _check_no_new_work(fleet, "b")


@pytest.mark.parametrize("delay_s", [0.01, 0.1, 1.0])
@pytest.mark.parametrize("fleet", range(3), indirect=True)
def test_out_of_service_with_platform_outage_just_after(fleet: FakeFleet, delay_s: float) -> None:
    """Guards against a change that stays with its first readers when log and host list fail."""
    fleet.publish({"data_centre/b": {"state": "out"}})
    fleet.run(delay_s)
    fleet.log.down = fleet.host_list_down = True
    fleet.run(PROPAGATION_LIMIT_S - delay_s)
    _check_no_new_work(fleet, "b")


@pytest.mark.parametrize("fleet", range(3), indirect=True)
def test_out_of_service_with_lost_messages(fleet: FakeFleet) -> None:
    """Guards against a change that is not propagated again after a lost message."""
    fleet.network.loss = 0.3
    fleet.publish({"data_centre/b": {"state": "out"}})
    fleet.run(PROPAGATION_LIMIT_S)
    _check_no_new_work(fleet, "b")


def test_stale_agent_refuses_requests_with_a_newer_offset(fleet: FakeFleet) -> None:
    """Guards against an agent without log and peers that admits requests by an old configuration.

    The request carries the offset of the router; the agent refuses until it has pulled it.
    """
    node = fleet.nodes["b-0"]
    node.log.disconnected = True
    fleet.network.partition_by_node["b-0"] = 1
    offset = fleet.publish({"data_centre/b": {"state": "out"}})
    fleet.run(PROPAGATION_LIMIT_S)
    admission = make_admission_controller(node.board, name="b-0", dc="b")
    refusal = admission.admit(AdmissionRequest(config_offset=offset), chat=None, now=0.0)
    assert refusal is not None and refusal.reason is RefusalReason.STALE_CONFIG
    fleet.network.partition_by_node.clear()
    fleet.run_coroutine(node.distributor.pull(fleet.nodes["a-0"].entry.control))
    refusal = admission.admit(AdmissionRequest(config_offset=offset), chat=None, now=0.0)
    assert refusal is not None and refusal.reason is RefusalReason.OUT_OF_SERVICE


@pytest.mark.parametrize("fleet", range(3), indirect=True)
def test_return_to_service_is_applied_by_every_process(fleet: FakeFleet) -> None:
    """Guards against a data centre that some processes keep treating as out of service."""
    fleet.publish({"data_centre/b": {"state": "out"}})
    fleet.run(PROPAGATION_LIMIT_S)
    offset = fleet.publish({"data_centre/b": {"state": "in"}})
    fleet.run_until_all_apply(offset, timeout_s=PROPAGATION_LIMIT_S)
    for node in fleet.nodes.values():
        chosen = choose_engines(node.board)
        assert {"b-0", "b-1", "b-2", "b-3", "b-4"} <= set(chosen)


@given(
    loads=st.lists(st.integers(0, CAPACITY), min_size=2, max_size=8),
    returning=st.integers(1, 4),
    cold_limit=st.integers(1, CAPACITY),
    arrivals=st.lists(st.integers(0, 3), max_size=60),
)
@settings(derandomize=True, max_examples=200)
def test_returning_engines_stay_within_the_bound_and_the_cold_limit(
    loads: list[int], returning: int, cold_limit: int, arrivals: list[int]
) -> None:
    """Guards against idle engines that receive all requests when their data centre returns."""
    table = LoadTable()
    board = Blackboard()
    board.write(CONFIG, EMPTY_CONFIG._replace(offset=1))
    controllers = []
    for index, load in enumerate(loads):
        admission = make_admission_controller(board, name=f"a-{index}", dc="a", table=table)
        admission.in_flight = load
        controllers.append(admission)
    returning_controllers = [
        make_admission_controller(
            board, name=f"b-{index}", dc="b", table=table, cold_limit=cold_limit
        )
        for index in range(returning)
    ]
    for admission in [*controllers, *returning_controllers]:
        table.merge_summary(admission.summary(), now=0.0)
    for arrival in arrivals:
        admission = returning_controllers[arrival % returning]
        if admission.admit(AdmissionRequest(fallback=True), chat=None, now=0.0) is not None:
            continue
        total = sum(other.in_flight for other in [*controllers, *returning_controllers])
        mean = total / (len(controllers) + returning)
        assert admission.in_flight <= max(1, math.ceil(DEFAULT_BOUND * mean - 1e-9))
        assert admission.in_flight <= cold_limit
