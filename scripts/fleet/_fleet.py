"""A running fleet: platform, servers, agents and routers as separate processes."""

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

from scripts.fleet._examples import read_objects
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

BUILD = Path(__file__).parents[2] / "build"
STATE_DIRECTORY = BUILD / "up"
"""Where ``scripts.up`` leaves its state."""
READY_TIMEOUT_S = 30.0
POLL_S = 0.05
REQUEST_TIMEOUT_S = 2.0
ROUTER_COMMAND = "import sys; from cornellead.cli import main; sys.exit(main())"
AGENT_COMMAND = "import sys; from cornellead_agent.cli import main; sys.exit(main())"


class FleetError(Exception):
    """A process did not become ready; the message ends with its log."""


class Fleet:
    """Starts a fleet, acts on its processes by name, and stops all of them.

    Names: ``platform``, the routers, the servers (stand-ins), and ``agent-<server>``.

    :param directory: Where settings and logs go; a new directory under ``build/`` by default.
    :param stand_ins_only: Start the platform, engines and services without agents and routers.
    """

    def __init__(
        self, *, plan: FleetPlan, directory: Path | None = None, stand_ins_only: bool = False
    ) -> None:
        self.plan = plan
        self.directory = directory or BUILD / f"{plan.user}-{uuid.uuid4().hex[:8]}"
        self.processes: dict[str, ManagedProcess] = {}
        self._stand_ins_only = stand_ins_only
        self._client = httpx.Client(timeout=REQUEST_TIMEOUT_S)
        self._ports = PortBlock()
        self.platform = self._ports.take()
        self.listeners = {server.name: self._ports.take() for server in plan.servers}
        """``ip:port`` of each stand-in server."""
        self.addresses = {
            host.name: Addresses(self._ports.take(), self._ports.take()) for host in plan.hosts
        }
        """Listeners of each router, and of each agent by the name of its server."""

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
        """Return the base URL of the agent beside a server."""
        return f"http://{self.addresses[server].http}"

    def server_url(self, server: str) -> str:
        """Return the base URL of a stand-in server."""
        return f"http://{self.listeners[server]}"

    @property
    def platform_url(self) -> str:
        """Base URL of the platform."""
        return f"http://{self.platform}"

    def start(self) -> None:
        """Start everything and wait until it is ready.

        :raises FleetError: when a process is not ready in time.
        """
        self.write_settings()
        for name in ("platform", *self.listeners):
            self.processes[name].start()
        self._wait_ready("platform", f"{self.platform_url}/healthz")
        for name in self.listeners:
            self._wait_ready(name, f"{self.server_url(name)}/load")
        self.publish(read_objects(self.plan.user), author="launcher", base=-1)
        if self._stand_ins_only:
            return
        for host in self.plan.hosts:
            self.list_host(host.name)
        system = [name for name, process in self.processes.items() if not process.pid]
        for name in system:
            self.processes[name].start()
        for name in system:
            self.wait_ready(name)

    def write_settings(self) -> list[str]:
        """Write the settings files of all processes; returns the names of the processes."""
        shutil.rmtree(self.directory, ignore_errors=True)
        self.directory.mkdir(parents=True)
        self._add_stand_ins()
        if not self._stand_ins_only:
            self._add_agents()
            self._add_routers()
        return list(self.processes)

    def wait_ready(self, name: str) -> None:
        """Wait until a router or ``agent-<server>`` is ready for requests."""
        host = name.removeprefix("agent-")
        self._wait_ready(name, f"http://{self.addresses[host].http}/readyz")

    def stop(self) -> None:
        """Stop every process that this fleet started, by its process id."""
        for process in self.processes.values():
            process.signal(signal.SIGCONT)
            process.signal(signal.SIGKILL)
        for process in self.processes.values():
            process.kill()
        self._client.close()
        self._ports.release()

    def kill(self, name: str) -> None:
        """End a process without notice."""
        self.processes[name].kill()

    def pause(self, name: str) -> None:
        """Stop a process from running (SIGSTOP)."""
        self.processes[name].signal(signal.SIGSTOP)

    def resume(self, name: str) -> None:
        """Let a paused process run (SIGCONT)."""
        self.processes[name].signal(signal.SIGCONT)

    def terminate(self, name: str) -> None:
        """Ask a process for a planned stop (SIGTERM) without waiting."""
        self.processes[name].signal(signal.SIGTERM)

    def restart(self, name: str, *, wait: bool = True) -> None:
        """Start a process again with the same settings; end it first if it runs."""
        process = self.processes[name]
        process.kill()
        process.start()
        if not wait:
            return
        if name == "platform":
            self._wait_ready(name, f"{self.platform_url}/healthz")
        elif name in self.listeners:
            self._wait_ready(name, f"{self.server_url(name)}/load")
        else:
            self.wait_ready(name)

    def list_host(self, name: str, *, state: str = "live") -> None:
        """Put a router or the agent of a server on the host list, ``live`` or ``leaving``."""
        host = next(each for each in self.plan.hosts if each.name == name)
        entry = host_entry(self.plan, host, addresses=self.addresses[name], state=state)
        self._client.put(f"{self.platform_url}/hosts/{name}", json=entry).raise_for_status()

    def unlist_host(self, name: str) -> None:
        """Remove a host from the host list."""
        self._client.delete(f"{self.platform_url}/hosts/{name}").raise_for_status()

    def publish(self, objects: dict[str, Any], *, author: str, base: int) -> int:
        """Append a change to the configuration stream; returns its offset.

        :param base: Offset up to which the author knows the configuration.
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
        """Switch the faults of a stand-in; faults that are not named are switched off."""
        url = self.platform_url if name == "platform" else self.server_url(name)
        self._client.put(f"{url}/faults", json=faults).raise_for_status()

    def statuses(self) -> dict[str, dict[str, Any]]:
        """Read ``GET /status`` of every agent that answers; the key is the server."""
        found: dict[str, dict[str, Any]] = {}
        for server in self.plan.servers:
            try:
                resp = self._client.get(f"{self.agent_url(server.name)}/status")
            except httpx.HTTPError:
                continue
            if resp.status_code == 200:
                found[server.name] = resp.json()
        return found

    def effects(self) -> dict[str, int]:
        """Count the effects at all services by ``operation/key``."""
        counts: dict[str, int] = {}
        for server in self.plan.services:
            listed = self._client.get(f"{self.server_url(server.name)}/effects").json()["effects"]
            for name, count in listed.items():
                counts[name] = counts.get(name, 0) + count
        return counts

    def write_state(self) -> None:
        """Write process ids and addresses, so that another script can stop the fleet."""
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
        self._add("platform", "cornellead_standins.platform", self._platform_settings())
        for seed, server in enumerate(self.plan.servers, start=1):
            settings = server_settings(
                self.plan,
                server,
                platform=self.platform,
                listen=self.listeners[server.name],
                seed=seed,
            )
            module = "service" if server.service else "engine"
            self._add(server.name, f"cornellead_standins.{module}", settings)

    def _add_agents(self) -> None:
        for server in self.plan.servers:
            settings = agent_settings(
                self.plan,
                server,
                addresses=self.addresses[server.name],
                platform=self.platform,
                listen=self.listeners[server.name],
            )
            self._add_command(f"agent-{server.name}", ["-c", AGENT_COMMAND], settings)

    def _add_routers(self) -> None:
        for router in self.plan.routers:
            settings = process_settings(
                self.plan,
                name=router.name,
                dc=router.dc,
                addresses=self.addresses[router.name],
                platform=self.platform,
            )
            command = ["-c", ROUTER_COMMAND, "serve"]
            self._add_command(router.name, command, {"process": settings})

    def _platform_settings(self) -> dict[str, Any]:
        return {"listen": self.platform, "host_lag_s": self.plan.host_lag_s}

    def _add(self, name: str, module: str, settings: dict[str, Any]) -> None:
        self._add_command(name, ["-m", module], settings)

    def _add_command(self, name: str, command: Iterable[str], settings: dict[str, Any]) -> None:
        path = self.directory / f"{name}.yaml"
        path.write_text(yaml.safe_dump(settings, sort_keys=False))
        self.processes[name] = ManagedProcess(
            name=name,
            command=[*command, f"--settings={path}"],
            log_path=self.directory / f"{name}.log",
        )

    def _wait_ready(self, name: str, url: str) -> None:
        process = self.processes[name]
        give_up_at = time.monotonic() + READY_TIMEOUT_S
        while time.monotonic() < give_up_at:
            if not process.running:
                break
            try:
                if self._client.get(url).status_code == 200:
                    return
            except httpx.HTTPError:
                pass
            time.sleep(POLL_S)
        raise FleetError(f"{name} is not ready at {url}; its log ends with:\n{process.tail()}")
