"""One version of the routing configuration."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Mapping

    from cornellead_core.routing._route import CallerLimits
    from cornellead_core.routing._route import Route
    from cornellead_core.routing._route import Service
    from cornellead_core.routing._route import Team


class RoutingConfig:
    """Routes, services, limits and teams of one version; immutable.

    :param teams_by_key: Teams by API key; empty when requests need no key.
    """

    def __init__(
        self,
        *,
        version: int,
        routes: Iterable[Route],
        services: Mapping[str, Service],
        limits: CallerLimits,
        teams_by_key: Mapping[str, Team],
        keys_required: bool,
    ) -> None:
        self.version = version
        self.services = dict(services)
        self.limits = limits
        self.keys_required = keys_required
        self._teams_by_key = dict(teams_by_key)
        self._routes = {(route.host, route.path_prefix): route for route in routes}

    @property
    def route_count(self) -> int:
        """Number of routes."""
        return len(self._routes)

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
