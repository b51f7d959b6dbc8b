"""Servers that may receive new work according to the host list and the configuration."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cornellead_core.config import ServerConfig
from cornellead_core.platform import HostKind
from cornellead_core.platform import HostState

if TYPE_CHECKING:
    from collections.abc import Sequence

    from cornellead_core.config import FleetConfig
    from cornellead_core.platform import HostEntry

_NO_CONFIG = ServerConfig()


def engines_for(
    model: str, *, hosts: Sequence[HostEntry], config: FleetConfig
) -> dict[str, HostEntry]:
    """Return the engines that hold a model and may receive work, by name."""
    found = {}
    for host in hosts:
        if host.service or not _receives_work(host, config):
            continue
        desired = config.servers.get(host.name, _NO_CONFIG).models
        if model in (host.models if desired is None else desired):
            found[host.name] = host
    return found


def servers_of(
    service: str, *, hosts: Sequence[HostEntry], config: FleetConfig
) -> dict[str, HostEntry]:
    """Return the servers of a plain service that may receive work, by name."""
    return {
        host.name: host
        for host in hosts
        if host.service == service and _receives_work(host, config)
    }


def _receives_work(host: HostEntry, config: FleetConfig) -> bool:
    return (
        host.kind is HostKind.AGENT
        and host.state is HostState.LIVE
        and host.dc not in config.out_of_service
        and not config.servers.get(host.name, _NO_CONFIG).draining
    )
