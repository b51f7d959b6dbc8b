"""One version of the routing configuration."""

from __future__ import annotations

from typing import NamedTuple

from cornellead_core.routing._route import CallerLimits
from cornellead_core.routing._route import Route
from cornellead_core.routing._route import Service
from cornellead_core.routing._route import Team


class TeamKeys(NamedTuple):
    """A team and the API keys that it holds."""

    team: Team
    keys: tuple[str, ...]


class RoutingData(NamedTuple):
    """Contents of one version, as routers pass them on."""

    version: int
    routes: tuple[Route, ...]
    services: tuple[Service, ...]
    limits: CallerLimits
    teams: tuple[TeamKeys, ...]
    keys_required: bool
    """Whether requests need a key, except on public routes."""


class RoutingConfig:
    """Contents of one version with the look-ups that requests need; immutable."""

    def __init__(self, *, data: RoutingData) -> None:
        self.data = data
        self.version = data.version
        self.services = {service.name: service for service in data.services}
        self.limits = data.limits
        self.keys_required = data.keys_required
        self._teams_by_key = {key: holder.team for holder in data.teams for key in holder.keys}
        self._routes = {(route.host, route.path_prefix): route for route in data.routes}

    def match(self, host: str, path: str) -> Route | None:
        """Return the route of the host with the longest prefix of the path.

        :param host: Value of the ``Host`` header.
        :param path: Path without the query.
        """
        name = host.partition(":")[0].lower()
        end = path.rfind("/")
        while end >= 0:
            route = self._routes.get((name, path[: end + 1]))
            if route is not None:
                return route
            end = path.rfind("/", 0, end)
        return None

    def team_of(self, key: str) -> Team | None:
        """Return the team that holds an API key."""
        return self._teams_by_key.get(key)
