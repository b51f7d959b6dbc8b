"""Contents of the settings files and host list entries of a fleet."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any
from typing import NamedTuple

if TYPE_CHECKING:
    from scripts.fleet._plan import FleetPlan
    from scripts.fleet._plan import RouterPlan
    from scripts.fleet._plan import ServerPlan

FLEET_KEY = "example-fleet-key-0123456789abcdef"


class Addresses(NamedTuple):
    """``ip:port`` of the two listeners of a router or an agent."""

    http: str
    control: str


def process_settings(
    plan: FleetPlan, *, name: str, dc: str, addresses: Addresses, platform_address: str
) -> dict[str, Any]:
    """Return the settings that routers and agents share."""
    return {
        "name": name,
        "region": plan.region,
        "dc": dc,
        "http": addresses.http,
        "control": addresses.control,
        "platform_url": f"http://{platform_address}",
        "fleet_key": FLEET_KEY,
        "log_format": "console",
        "drain_timeout_s": plan.drain_timeout_s,
    }


def agent_settings(
    plan: FleetPlan, server: ServerPlan, *, addresses: Addresses, platform_address: str, listen: str
) -> dict[str, Any]:
    """Return the settings of the agent of a server.

    :param listen: ``ip:port`` of the server.
    """
    return {
        "process": process_settings(
            plan,
            name=server.name,
            dc=server.dc,
            addresses=addresses,
            platform_address=platform_address,
        ),
        "server": {
            "url": f"http://{listen}",
            "service": server.service,
            "capacity": server.capacity,
            "models": list(server.models),
        },
    }


def server_settings(
    plan: FleetPlan, server: ServerPlan, *, platform_address: str, listen: str, seed: int
) -> dict[str, Any]:
    """Return the settings of a stand-in engine or service.

    :param listen: ``ip:port`` of the server.
    """
    if server.service:
        return {
            "listen": listen,
            "name": server.service,
            "capacity": server.capacity,
            "work_s": plan.work_s,
            "seed": seed,
        }
    return {
        "listen": listen,
        "capacity": server.capacity,
        "slots": 2 * server.capacity,
        "models": list(server.models),
        "token_interval_s": plan.token_interval_s,
        "cache_blocks": plan.cache_blocks,
        "cold_start": plan.cold_start,
        "honours_fence": server.honours_fence,
        "platform_url": f"http://{platform_address}",
        "seed": seed,
    }


def host_entry(
    plan: FleetPlan, host: RouterPlan | ServerPlan, *, addresses: Addresses, state: str
) -> dict[str, Any]:
    """Return the host list entry of a router or an agent.

    :param state: ``live`` or ``leaving``.
    """
    entry: dict[str, Any] = {
        "name": host.name,
        "kind": "router",
        "region": plan.region,
        "dc": host.dc,
        "http": addresses.http,
        "control": addresses.control,
        "state": state,
    }
    if host in plan.servers:
        server: Any = host
        entry |= {
            "kind": "agent",
            "service": server.service,
            "models": list(server.models),
            "capacity": float(server.capacity),
        }
    return entry
