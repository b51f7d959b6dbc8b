"""A fleet of separate processes: platform, servers, agents and routers."""

from __future__ import annotations

import json
import shutil
import signal
import time
import uuid
from pathlib import Path
from typing import TYPE_CHECKING
from typing import Any

import httpx
import yaml

from scripts.fleet._examples import read_example_objects
from scripts.fleet._managed_process import ManagedProcess
from scripts.fleet._port_block import PortBlock
from scripts.fleet._settings_files import Addresses
from scripts.fleet._settings_files import agent_settings
from scripts.fleet._settings_files import host_entry
from scripts.fleet._settings_files import process_settings
from scripts.fleet._settings_files import server_settings

if TYPE_CHECKING:
    from collections.abc import Iterable
    from types import TracebackType

    from scripts.fleet._plan import FleetPlan

BUILD_DIRECTORY = Path(__file__).parents[2] / "build"
STATE_DIRECTORY = BUILD_DIRECTORY / "up"
"""Settings, logs and process ids of the fleet that ``scripts.up`` started."""
READY_TIMEOUT_S = 30.0
POLL_INTERVAL_S = 0.05
REQUEST_TIMEOUT_S = 2.0
ROUTER_PROGRAM = "import sys; from cornellead.cli import main; sys.exit(main())"
AGENT_PROGRAM = "import sys; from cornellead_agent.cli import main; sys.exit(main())"


class FleetError(Exception):
    """A process did not become ready; the message ends with the last lines of its log."""


class Fleet:
    """Starts the processes of a plan, signals them by name, and stops all of them.

    Processes are named ``platform``, ``<router>``, ``<server>`` (a stand-in) and
    ``agent-<server>``.

    :param directory: Directory for settings and logs, emptied first; a new one under ``build/``
        by default.
    :param stand_ins_only: Start platform, engines and services without agents and routers.
    """

    def __init__(
        self, *, plan: FleetPlan, directory: Path | None = None, stand_ins_only: bool = False
    ) -> None:
        self.plan = plan
        self.directory = directory or BUILD_DIRECTORY / f"{plan.user}-{uuid.uuid4().hex[:8]}"
        self.processes: dict[str, ManagedProcess] = {}
        self._stand_ins_only = stand_ins_only
        self._client = httpx.Client(timeout=REQUEST_TIMEOUT_S)
        self._ports = PortBlock()
        self.platform_address = self._ports.allocate()
        self.server_addresses = {server.name: self._ports.allocate() for server in plan.servers}
        """``ip:port`` of each stand-in server."""
        self.addresses = {
            host.name: Addresses(self._ports.allocate(), self._ports.allocate())
            for host in plan.hosts
        }
        """Listeners of each router and, by the name of its server, of each agent."""

    def __enter__(self) -> Fleet:
        try:
            self.start()
        except BaseException:
            self.stop()
            raise
        return self

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self.stop()

    @property
    def router_urls(self) -> list[str]:
        """Base URLs of all routers."""
        return [f"http://{self.addresses[router.name].http}" for router in self.plan.routers]

    def agent_url(self, server: str) -> str:
        """Return the base URL of the agent of a server."""
        return f"http://{self.addresses[server].http}"

    def server_url(self, server: str) -> str:
        """Return the base URL of a stand-in server."""
        return f"http://{self.server_addresses[server]}"

    @property
    def platform_url(self) -> str:
        """Base URL of the platform."""
        return f"http://{self.platform_address}"

    def start(self) -> None:
        """Start all processes, publish the example configuration and wait until all are ready.

        :raises FleetError: when a process is not ready in time.
        """
        self.write_settings()
        for name in ("platform", *self.server_addresses):
            self.processes[name].start()
        self._poll_until_ready("platform", f"{self.platform_url}/healthz")
        for name in self.server_addresses:
            self._poll_until_ready(name, f"{self.server_url(name)}/load")
        self.publish(read_example_objects(self.plan.user), author="launcher", base=-1)
        if self._stand_ins_only:
            return
        for host in self.plan.hosts:
            self.register_host(host.name)
        unstarted = [name for name, process in self.processes.items() if not process.pid]
        for name in unstarted:
            self.processes[name].start()
        for name in unstarted:
            self.wait_ready(name)

    def write_settings(self) -> list[str]:
        """Empty the directory and write all settings files; returns the names of the processes."""
        shutil.rmtree(self.directory, ignore_errors=True)
        self.directory.mkdir(parents=True)
        self._add_stand_ins()
        if not self._stand_ins_only:
            self._add_agents()
            self._add_routers()
        return list(self.processes)

    def wait_ready(self, name: str) -> None:
        """Wait until a router or an agent responds to ``GET /readyz`` with status 200.

        :raises FleetError: when it has ended or is not ready in time.
        """
        host = name.removeprefix("agent-")
        self._poll_until_ready(name, f"http://{self.addresses[host].http}/readyz")

    def stop(self) -> None:
        """Kill every process that this fleet started, and release its ports."""
        for process in self.processes.values():
            process.signal(signal.SIGCONT)
            process.signal(signal.SIGKILL)
        for process in self.processes.values():
            process.kill()
        self._client.close()
        self._ports.release()

    def kill(self, name: str) -> None:
        """Kill a process (SIGKILL) and wait for its end."""
        self.processes[name].kill()

    def pause(self, name: str) -> None:
        """Suspend a process (SIGSTOP)."""
        self.processes[name].signal(signal.SIGSTOP)

    def resume(self, name: str) -> None:
        """Continue a suspended process (SIGCONT)."""
        self.processes[name].signal(signal.SIGCONT)

    def terminate(self, name: str) -> None:
        """Request a graceful shutdown (SIGTERM) without waiting for the end."""
        self.processes[name].signal(signal.SIGTERM)

    def restart(self, name: str, *, wait: bool = True) -> None:
        """Start a process again with the same settings; kills it first if it is running."""
        process = self.processes[name]
        process.kill()
        process.start()
        if not wait:
            return
        if name == "platform":
            self._poll_until_ready(name, f"{self.platform_url}/healthz")
        elif name in self.server_addresses:
            self._poll_until_ready(name, f"{self.server_url(name)}/load")
        else:
            self.wait_ready(name)

    def register_host(self, name: str, *, state: str = "live") -> None:
        """Add or replace the host list entry of a router or of a server's agent.

        :param state: ``live`` or ``leaving``.
        """
        host = next(each for each in self.plan.hosts if each.name == name)
        entry = host_entry(self.plan, host, addresses=self.addresses[name], state=state)
        self._client.put(f"{self.platform_url}/hosts/{name}", json=entry).raise_for_status()

    def deregister_host(self, name: str) -> None:
        """Remove a router or a server's agent from the host list."""
        self._client.delete(f"{self.platform_url}/hosts/{name}").raise_for_status()

    def publish(self, objects: dict[str, Any], *, author: str, base: int) -> int:
        """Append a change to the configuration stream and return its offset.

        :param base: Offset of the last change that the author had read.
        """
        record = {
            "kind": "change",
            "change_id": uuid.uuid4().hex,
            "author": author,
            "base": base,
            "objects": objects,
            "time": time.time(),
        }
        resp = self._client.post(f"{self.platform_url}/log/config", json={"records": [record]})
        resp.raise_for_status()
        offset: int = resp.json()["first_offset"]
        return offset

    def set_faults(self, name: str, **faults: Any) -> None:
        """Replace the faults of a stand-in; faults that are not passed are switched off."""
        url = self.platform_url if name == "platform" else self.server_url(name)
        self._client.put(f"{url}/faults", json=faults).raise_for_status()

    def agent_statuses(self) -> dict[str, dict[str, Any]]:
        """Return the body of ``GET /status`` of every reachable agent, by server."""
        status_by_server: dict[str, dict[str, Any]] = {}
        for server in self.plan.servers:
            try:
                resp = self._client.get(f"{self.agent_url(server.name)}/status")
            except httpx.HTTPError:
                continue
            if resp.status_code == 200:
                status_by_server[server.name] = resp.json()
        return status_by_server

    def effects(self) -> dict[str, int]:
        """Return the number of effects by ``operation/key``, summed over all service servers."""
        counts: dict[str, int] = {}
        for server in self.plan.services:
            effects = self._client.get(f"{self.server_url(server.name)}/effects").json()["effects"]
            for name, count in effects.items():
                counts[name] = counts.get(name, 0) + count
        return counts

    def write_state(self) -> None:
        """Write ``state.json``, from which ``scripts.down`` stops the fleet, and ``env``.

        ``env`` exports the addresses of the platform and of the first router for the command line.
        """
        state = {
            "user": self.plan.user,
            "directory": str(self.directory),
            "routers": self.router_urls,
            "platform": self.platform_url,
            "pids": {name: process.pid for name, process in self.processes.items()},
        }
        (self.directory / "state.json").write_text(json.dumps(state, indent=2) + "\n")
        variables = {
            "CORNELLEAD_PLATFORM": self.platform_url,
            "CORNELLEAD_ROUTER": self.router_urls[0],
        }
        lines = [f"export {name}={value}\n" for name, value in variables.items()]
        (self.directory / "env").write_text("".join(lines))

    def _add_stand_ins(self) -> None:
        self._add_module_process(
            "platform", "cornellead_standins.platform", self._platform_settings()
        )
        for seed, server in enumerate(self.plan.servers, start=1):
            settings = server_settings(
                self.plan,
                server,
                platform_address=self.platform_address,
                listen=self.server_addresses[server.name],
                seed=seed,
            )
            module = "service" if server.service else "engine"
            self._add_module_process(server.name, f"cornellead_standins.{module}", settings)

    def _add_agents(self) -> None:
        for server in self.plan.servers:
            settings = agent_settings(
                self.plan,
                server,
                addresses=self.addresses[server.name],
                platform_address=self.platform_address,
                listen=self.server_addresses[server.name],
            )
            self._add_process(f"agent-{server.name}", ["-c", AGENT_PROGRAM], settings)

    def _add_routers(self) -> None:
        for router in self.plan.routers:
            settings = process_settings(
                self.plan,
                name=router.name,
                dc=router.dc,
                addresses=self.addresses[router.name],
                platform_address=self.platform_address,
            )
            command = ["-c", ROUTER_PROGRAM, "serve"]
            self._add_process(router.name, command, {"process": settings})

    def _platform_settings(self) -> dict[str, Any]:
        return {"listen": self.platform_address, "host_lag_s": self.plan.host_lag_s}

    def _add_module_process(self, name: str, module: str, settings: dict[str, Any]) -> None:
        self._add_process(name, ["-m", module], settings)

    def _add_process(self, name: str, command: Iterable[str], settings: dict[str, Any]) -> None:
        path = self.directory / f"{name}.yaml"
        path.write_text(yaml.safe_dump(settings, sort_keys=False))
        self.processes[name] = ManagedProcess(
            name=name,
            command=[*command, f"--settings={path}"],
            log_path=self.directory / f"{name}.log",
        )

    def _poll_until_ready(self, name: str, url: str) -> None:
        process = self.processes[name]
        deadline_at = time.monotonic() + READY_TIMEOUT_S
        while time.monotonic() < deadline_at:
            if not process.running:
                break
            try:
                if self._client.get(url).status_code == 200:
                    return
            except httpx.HTTPError:
                pass
            time.sleep(POLL_INTERVAL_S)
        raise FleetError(f"{name} is not ready at {url}; its log ends with:\n{process.log_tail()}")
