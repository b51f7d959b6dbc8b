"""Versioned routing configuration and its look-ups."""

from __future__ import annotations

from typing import NamedTuple

from cornellead_core.routing._route import CallerLimits
from cornellead_core.routing._route import Route
from cornellead_core.routing._route import Service
from cornellead_core.routing._route import Team


class TeamKeys(NamedTuple):
    """Team and its API keys."""

    team: Team
    keys: tuple[str, ...]


class RoutingData(NamedTuple):
    """Contents of one version of the configuration, as exchanged between routers."""

    version: int
    routes: tuple[Route, ...]
    services: tuple[Service, ...]
    limits: CallerLimits
    teams: tuple[TeamKeys, ...]
    keys_required: bool
    """Whether requests need an API key, except on public routes."""


class RoutingConfig:
    """Immutable index of one version of the configuration."""

    def __init__(self, *, data: RoutingData) -> None:
        self.data = data
        self.version = data.version
        self.services = {service.name: service for service in data.services}
        self.limits = data.limits
        self.keys_required = data.keys_required
        self._teams_by_key = {
            key: team_keys.team for team_keys in data.teams for key in team_keys.keys
        }
        self._routes_by_prefix = {
            (route.host, route.path_prefix): route
            for route in data.routes
            if route.path_prefix.endswith("/")
        }
        lengths: dict[str, set[int]] = {}
        for host, prefix in self._routes_by_prefix:
            lengths.setdefault(host, set()).add(len(prefix))
        self._prefix_lengths = {
            host: tuple(sorted(of_host, reverse=True)) for host, of_host in lengths.items()
        }

    def match(self, host: str, path: str) -> Route | None:
        """Return the route of the host with the longest matching path prefix.

        Only prefixes that end in ``/`` are considered. The lengths of the host's prefixes are tried
        and not the slashes of the path, of which callers may send thousands.

        :param host: Value of the ``Host`` header; a port is ignored.
        :param path: Path without the query.
        """
        host_name = host.partition(":")[0].lower()
        for length in self._prefix_lengths.get(host_name, ()):
            if path[length - 1 : length] != "/":
                continue
            route = self._routes_by_prefix.get((host_name, path[:length]))
            if route is not None:
                return route
        return None

    def team_of(self, key: str) -> Team | None:
        """Return the team of an API key, ``None`` if the key is unknown."""
        return self._teams_by_key.get(key)
