"""Fleets of separate processes, and the example objects that they publish."""

from __future__ import annotations

import hashlib
import signal
from typing import TYPE_CHECKING

import httpx
import pytest
from scripts.fleet import Fleet
from scripts.fleet import PortBlock
from scripts.fleet import kill_process
from scripts.fleet import plan_imigongo
from scripts.fleet import plan_sabarmati
from scripts.fleet import read_example_objects
from scripts.fleet import team_names
from scripts.fleet import team_token

from cornellead_core.config import find_problems
from cornellead_core.settings import load_agent_settings
from cornellead_core.settings import load_router_settings

if TYPE_CHECKING:
    from collections.abc import Iterator
    from pathlib import Path

USERS = ["imigongo", "sabarmati"]


@pytest.fixture(scope="module")
def fleet(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Fleet]:
    """Stand-ins of Sabarmati as running processes, without agents and routers."""
    directory = tmp_path_factory.mktemp("fleet") / "sabarmati"
    with Fleet(plan=plan_sabarmati(), directory=directory, stand_ins_only=True) as running:
        yield running


@pytest.mark.parametrize("user", USERS)
def test_example_objects_are_valid(user: str) -> None:
    """Guards against example objects that the configuration reducer would reject."""
    assert find_problems({}, read_example_objects(user)) == []
    assert len(team_names(user)) == 10


@pytest.mark.parametrize("user", USERS)
def test_example_settings_load(user: str, pytestconfig: pytest.Config) -> None:
    """Guards against example settings files that a router or an agent fails to load."""
    examples = pytestconfig.rootpath / "examples" / user
    assert load_router_settings(examples / "router.yaml").unwrap()
    assert load_agent_settings(examples / "agent.yaml").unwrap()


@pytest.mark.parametrize("plan", [plan_imigongo(), plan_sabarmati()], ids=USERS)
def test_generated_settings_load(plan: object, tmp_path: Path) -> None:
    """Guards against generated settings files that a router or an agent fails to load."""
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


def test_port_blocks_are_disjoint() -> None:
    """Guards against concurrent test runs that use the same ports."""
    blocks = [PortBlock() for _ in range(5)]
    try:
        ports = [block.allocate() for block in blocks for _ in range(20)]
    finally:
        for block in blocks:
            block.release()
    assert len(set(ports)) == len(ports)


@pytest.mark.processes
def test_start_publishes_example_objects(fleet: Fleet) -> None:
    """Guards against a fleet that starts without a configuration."""
    page = httpx.get(f"{fleet.platform_url}/log/config", params={"from": 0}).json()
    record = page["records"][0][2]
    assert record["kind"] == "change"
    assert set(record["objects"]) == set(read_example_objects("sabarmati"))


@pytest.mark.processes
def test_restart_changes_boot_id_and_pid(fleet: Fleet) -> None:
    """Guards against a restart that leaves the old process running."""
    load = f"{fleet.server_url('engine-1')}/load"
    before, pid = httpx.get(load).json()["boot_id"], fleet.processes["engine-1"].pid
    fleet.restart("engine-1")
    assert httpx.get(load).json()["boot_id"] != before
    assert fleet.processes["engine-1"].pid != pid


@pytest.mark.processes
def test_sigterm_stops_a_stand_in(fleet: Fleet) -> None:
    """Guards against a stand-in that ignores SIGTERM after it was suspended and continued."""
    fleet.pause("engine-2")
    fleet.resume("engine-2")
    fleet.terminate("engine-2")
    assert fleet.processes["engine-2"].wait(20.0) in (0, -signal.SIGTERM)
    assert not fleet.processes["engine-2"].running


@pytest.mark.processes
def test_kill_process_checks_command_line(fleet: Fleet) -> None:
    """Guards against killing another process that reused a process id of a stale state file."""
    pid = fleet.processes["engine-3"].pid
    assert not kill_process(pid, "some other directory")
    assert fleet.processes["engine-3"].running
    assert kill_process(pid, str(fleet.directory))


def test_team_tokens_match_example_digests() -> None:
    """Guards against callers whose bearer token belongs to no team."""
    for user in USERS:
        objects = read_example_objects(user)
        for team in team_names(user):
            digest = hashlib.sha256(team_token(team).encode()).hexdigest()
            assert digest in objects[f"team/{team}"]["token_sha256"]
