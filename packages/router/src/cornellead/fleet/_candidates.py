"""Selects the servers to which the host list and the configuration allow new requests."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cornellead_core.config import ServerConfig
from cornellead_core.platform import HostKind
from cornellead_core.platform import HostState

if TYPE_CHECKING:
    from collections.abc import Sequence

    from cornellead_core.config import FleetConfig
    from cornellead_core.platform import HostEntry

_DEFAULT_SERVER_CONFIG = ServerConfig()


def engines_for(
    model: str, *, hosts: Sequence[HostEntry], config: FleetConfig
) -> dict[str, HostEntry]:
    """Return the engines that serve a model and may receive new requests, by name.

    The models in the configuration take precedence over those in the host list.
    """
    found = {}
    for host in hosts:
        if host.service or not _accepts_work(host, config):
            continue
        desired = config.servers.get(host.name, _DEFAULT_SERVER_CONFIG).models
        if model in (host.models if desired is None else desired):
            found[host.name] = host
    return found


def servers_for(
    service: str, *, hosts: Sequence[HostEntry], config: FleetConfig
) -> dict[str, HostEntry]:
    """Return the servers of a plain service that may receive new requests, by name."""
    return {
        host.name: host for host in hosts if host.service == service and _accepts_work(host, config)
    }


def _accepts_work(host: HostEntry, config: FleetConfig) -> bool:
    return (
        host.kind is HostKind.AGENT
        and host.state is HostState.LIVE
        and host.dc not in config.out_of_service
        and not config.servers.get(host.name, _DEFAULT_SERVER_CONFIG).draining
    )
