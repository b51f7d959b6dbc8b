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
        self._routes_by_prefix = {(route.host, route.path_prefix): route for route in data.routes}

    def match(self, host: str, path: str) -> Route | None:
        """Return the route of the host with the longest matching path prefix.

        Only prefixes that end in ``/`` are considered.

        :param host: Value of the ``Host`` header; a port is ignored.
        :param path: Path without the query.
        """
        host_name = host.partition(":")[0].lower()
        prefix_end = path.rfind("/")
        while prefix_end >= 0:
            route = self._routes_by_prefix.get((host_name, path[: prefix_end + 1]))
            if route is not None:
                return route
            prefix_end = path.rfind("/", 0, prefix_end)
        return None

    def team_of(self, key: str) -> Team | None:
        """Return the team of an API key, ``None`` if the key is unknown."""
        return self._teams_by_key.get(key)
