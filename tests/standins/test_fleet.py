"""The launcher of fleets and the examples that it publishes."""

from __future__ import annotations

import hashlib
import signal
from typing import TYPE_CHECKING

import httpx
import pytest
from scripts.fleet import Fleet
from scripts.fleet import PortBlock
from scripts.fleet import plan_imigongo
from scripts.fleet import plan_sabarmati
from scripts.fleet import read_objects
from scripts.fleet import stop_process
from scripts.fleet import team_token
from scripts.fleet import teams

from cornellead_core.config import find_problems
from cornellead_core.settings import load_agent_settings
from cornellead_core.settings import load_router_settings

if TYPE_CHECKING:
    from collections.abc import Iterator
    from pathlib import Path

USERS = ["imigongo", "sabarmati"]


@pytest.fixture(scope="module")
def fleet(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Fleet]:
    """The stand-ins of Sabarmati as processes."""
    directory = tmp_path_factory.mktemp("fleet") / "sabarmati"
    with Fleet(plan=plan_sabarmati(), directory=directory, stand_ins_only=True) as running:
        yield running


@pytest.mark.parametrize("user", USERS)
def test_example_objects_are_valid(user: str) -> None:
    """Guards against examples that the reducer rejects."""
    assert find_problems({}, read_objects(user)) == []
    assert len(teams(user)) == 10


@pytest.mark.parametrize("user", USERS)
def test_example_settings_load(user: str, pytestconfig: pytest.Config) -> None:
    """Guards against examples that a process refuses."""
    examples = pytestconfig.rootpath / "examples" / user
    assert load_router_settings(examples / "router.yaml").unwrap()
    assert load_agent_settings(examples / "agent.yaml").unwrap()


@pytest.mark.parametrize("plan", [plan_imigongo(), plan_sabarmati()], ids=USERS)
def test_written_settings_load(plan: object, tmp_path: Path) -> None:
    """Guards against settings files of the launcher that a process refuses."""
    fleet = Fleet(plan=plan, directory=tmp_path)  # type: ignore[arg-type]
    try:
        written = fleet.write_settings()
    finally:
        fleet.stop()
    agents = [name for name in written if name.startswith("agent-")]
    for name in agents:
        assert load_agent_settings(tmp_path / f"{name}.yaml").unwrap()
    for router in fleet.plan.routers:
        assert load_router_settings(tmp_path / f"{router.name}.yaml").unwrap()
    assert len(agents) == len(fleet.plan.servers)


def test_blocks_of_ports_are_disjoint() -> None:
    """Guards against two test runs that take each other's ports."""
    blocks = [PortBlock() for _ in range(5)]
    try:
        ports = [block.take() for block in blocks for _ in range(20)]
    finally:
        for block in blocks:
            block.release()
    assert len(set(ports)) == len(ports)


@pytest.mark.processes
def test_objects_are_published(fleet: Fleet) -> None:
    """Guards against a fleet that starts without configuration."""
    page = httpx.get(f"{fleet.platform_url}/log/config", params={"from": 0}).json()
    record = page["records"][0][2]
    assert record["kind"] == "change"
    assert set(record["objects"]) == set(read_objects("sabarmati"))


@pytest.mark.processes
def test_restart_gives_a_new_boot(fleet: Fleet) -> None:
    """Guards against a restart that leaves the old process running."""
    load = f"{fleet.server_url('engine-1')}/load"
    before, pid = httpx.get(load).json()["boot_id"], fleet.processes["engine-1"].pid
    fleet.restart("engine-1")
    assert httpx.get(load).json()["boot_id"] != before
    assert fleet.processes["engine-1"].pid != pid


@pytest.mark.processes
def test_planned_stop_of_a_stand_in(fleet: Fleet) -> None:
    """Guards against SIGTERM that has no effect, also after a pause."""
    fleet.pause("engine-2")
    fleet.resume("engine-2")
    fleet.terminate("engine-2")
    assert fleet.processes["engine-2"].wait(20.0) in (0, -signal.SIGTERM)
    assert not fleet.processes["engine-2"].running


@pytest.mark.processes
def test_only_own_processes_are_stopped_by_id(fleet: Fleet) -> None:
    """Guards against ending a process that took over an id from a state file."""
    pid = fleet.processes["engine-3"].pid
    assert not stop_process(pid, "some other directory")
    assert fleet.processes["engine-3"].running
    assert stop_process(pid, str(fleet.directory))


def test_tokens_match_the_examples() -> None:
    """Guards against demo callers that no team knows."""
    for user in USERS:
        objects = read_objects(user)
        for team in teams(user):
            digest = hashlib.sha256(team_token(team).encode()).hexdigest()
            assert digest in objects[f"team/{team}"]["token_sha256"]
