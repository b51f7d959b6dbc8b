"""A router's view of the whole fleet."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cornellead.gateway.gossip import MAX_ROUTERS
from cornellead.gateway.quarantine import PromptGuard
from cornellead.gateway.view._fleet_load import FleetLoad
from cornellead.gateway.view._prompt_directory import PromptDirectory
from cornellead.gateway.view._rate_limits import RateLimits
from cornellead.gateway.view._rollouts import Rollouts
from cornellead.gateway.view._server_registry import ServerRegistry
from cornellead.gateway.view._store_history import StoreHistory

if TYPE_CHECKING:
    from cornellead_core.routing import RouterLocation
    from cornellead_core.routing import RoutingConfig
    from cornellead_core.routing import Topic

ROUTER_EXPIRY_S = 20.0
"""Time after its last announcement for which a router counts as running: several announcement
intervals. The limit of requests to cold servers is divided by the number of routers, so a stale
router makes each one send too little, and a missing router makes them send too much."""


class FleetView:
    """The active configuration, the servers and routers, and the age of this information."""

    def __init__(self, *, router: str) -> None:
        self.router = router
        self.config: RoutingConfig | None = None
        self.servers = ServerRegistry()
        self.prompts = PromptDirectory()
        self.load = FleetLoad()
        self.guard = PromptGuard(router=router)
        self.rate_limits = RateLimits(router=router, servers=self.servers)
        self.rollouts = Rollouts(router=router)
        self.history = StoreHistory()
        self.servers_loaded = False
        """Whether the list of servers has been read at least once."""
        self.confirmed_at: float | None = None
        """Time of the store's last confirmation of the configuration, in seconds."""
        self._routers: dict[str, tuple[float, RouterLocation]] = {}
        self._unavailable_since: dict[Topic, float] = {}

    def activate_config(self, config: RoutingConfig) -> bool:
        """Activate a configuration unless its version is older than or equal to the active one.

        :returns: Whether the active configuration changed.
        """
        if self.config is not None and config.version <= self.config.version:
            return False
        self.config = config
        cold_start_s = max((s.cold_start_s for s in config.services.values()), default=0.0)
        self.servers.return_cold_s = cold_start_s
        self.servers.set_services(config.services)
        return True

    def config_age_s(self, *, now: float) -> float:
        """Return the seconds since the store last confirmed the configuration.

        :returns: Infinity if the store never confirmed one.
        """
        return float("inf") if self.confirmed_at is None else now - self.confirmed_at

    def mark_store_unavailable(self, topic: Topic, *, now: float) -> None:
        """Record the start of an outage of a topic, unless one is already recorded."""
        self._unavailable_since.setdefault(topic, now)

    def mark_store_available(self, topic: Topic) -> None:
        """Record that a topic can be read again."""
        self._unavailable_since.pop(topic, None)

    def outage_s(self, *, now: float) -> float | None:
        """Return the duration of the store outage in seconds.

        :returns: ``None`` if all topics can be read; otherwise the longest outage of a topic.
        """
        return now - min(self._unavailable_since.values()) if self._unavailable_since else None

    @property
    def ready(self) -> bool:
        """Whether the router has a configuration and a list of servers to serve callers with."""
        return self.config is not None and self.servers_loaded

    def apply_announcement(
        self, router: str, location: RouterLocation | None, *, now: float
    ) -> None:
        """Apply the announcement of a router.

        :param location: Where the router runs; ``None`` if it is stopping.
        """
        if location is None:
            self._routers.pop(router, None)
        else:
            self._routers[router] = (now, location)

    def add_reporting_router(self, router: str, location: RouterLocation, *, now: float) -> None:
        """Add a router that sent a load report before its announcement was read, or renew it.

        Anything that can reach this router may send one, so the number of those is bounded.

        :param location: Used until the router's announcement is read.
        """
        if router == self.router:
            return
        if router not in self._routers and len(self._routers) >= MAX_ROUTERS:
            return
        _, known = self._routers.get(router, (now, location))
        self._routers[router] = (now, known)

    def renew_router(self, router: str, *, now: float) -> None:
        """Renew the announcement of a router that has responded.

        Routers that read announcements from another router receive only those that change.
        """
        if router in self._routers:
            self._routers[router] = (now, self._routers[router][1])

    def routers(self, *, now: float) -> list[str]:
        """Remove expired routers and return the sorted names of the rest, this one included."""
        expired = [name for name, (at, _) in self._routers.items() if now - at > ROUTER_EXPIRY_S]
        for name in expired:
            del self._routers[name]
        return sorted({*self._routers, self.router})

    def peers(self, *, now: float) -> dict[str, RouterLocation]:
        """Return the locations of the other running routers by name."""
        names = self.routers(now=now)
        return {name: self._routers[name][1] for name in names if name != self.router}
