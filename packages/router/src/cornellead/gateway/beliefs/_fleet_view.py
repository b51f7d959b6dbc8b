"""Everything that one router believes about the fleet."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cornellead.gateway.beliefs._fleet_load import FleetLoad
from cornellead.gateway.beliefs._prompt_directory import PromptDirectory
from cornellead.gateway.beliefs._server_registry import ServerRegistry

if TYPE_CHECKING:
    from cornellead_core.routing import RouterPlace
    from cornellead_core.routing import RoutingConfig
    from cornellead_core.routing import Topic

MEMBER_TRUST_S = 20.0
"""Time after its last announcement for which a router counts as running: a few intervals. Too many
routers make each one send less to cold servers, too few would let them send too much."""


class FleetView:
    """Configuration in force, servers, routers, and how old all of it is."""

    def __init__(self, *, router: str) -> None:
        self.router = router
        self.config: RoutingConfig | None = None
        self.servers = ServerRegistry()
        self.prompts = PromptDirectory()
        self.load = FleetLoad()
        self.servers_known = False
        """Whether the list of servers was read once."""
        self.confirmed_at: float | None = None
        """When the store last confirmed the configuration, in seconds."""
        self._routers: dict[str, tuple[float, RouterPlace]] = {}
        self._lost_at: dict[Topic, float] = {}

    def take_config(self, config: RoutingConfig) -> bool:
        """Put a configuration in force unless a newer one is.

        :returns: Whether it is in force now and was not before.
        """
        if self.config is not None and config.version <= self.config.version:
            return False
        self.config = config
        cold_start_s = max((s.cold_start_s for s in config.services.values()), default=0.0)
        self.servers.return_cold_s = cold_start_s
        self.servers.set_services(config.services)
        return True

    def config_age_s(self, *, now: float) -> float:
        """Return the time since the store last confirmed the configuration."""
        return float("inf") if self.confirmed_at is None else now - self.confirmed_at

    def lose_store(self, topic: Topic, *, now: float) -> None:
        """Note that a topic of the store cannot be read."""
        self._lost_at.setdefault(topic, now)

    def regain_store(self, topic: Topic) -> None:
        """Note that a topic of the store can be read again."""
        self._lost_at.pop(topic, None)

    def outage_s(self, *, now: float) -> float | None:
        """Return for how long a topic of the store could not be read; ``None`` if all can."""
        return now - min(self._lost_at.values()) if self._lost_at else None

    @property
    def ready(self) -> bool:
        """Whether enough is known to serve callers."""
        return self.config is not None and self.servers_known

    def see_router(self, router: str, place: RouterPlace | None, *, now: float) -> None:
        """Take the announcement of a router.

        :param place: ``None`` if it stops.
        """
        if place is None:
            self._routers.pop(router, None)
        else:
            self._routers[router] = (now, place)

    def hear_router(self, router: str, place: RouterPlace, *, now: float) -> None:
        """Take a sign of life of a router whose announcement was not read yet."""
        if router not in self._routers and router != self.router:
            self._routers[router] = (now, place)

    def routers(self, *, now: float) -> list[str]:
        """Return the names of the running routers, this one included."""
        lost = [name for name, (at, _) in self._routers.items() if now - at > MEMBER_TRUST_S]
        for name in lost:
            del self._routers[name]
        return sorted({*self._routers, self.router})

    def peers(self, *, now: float) -> dict[str, RouterPlace]:
        """Return where the other running routers are, by name."""
        names = self.routers(now=now)
        return {name: self._routers[name][1] for name in names if name != self.router}
