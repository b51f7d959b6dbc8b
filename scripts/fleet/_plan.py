"""Names, sizes and speeds of the processes of a fleet."""

from __future__ import annotations

from typing import NamedTuple


class RouterPlan(NamedTuple):
    """Name and data centre of a router."""

    name: str
    dc: str


class ServerPlan(NamedTuple):
    """A stand-in server; an agent of the same name runs beside it."""

    name: str
    dc: str
    service: str = ""
    """Name of the plain service; empty for an engine."""
    capacity: int = 16
    models: tuple[str, ...] = ()
    honours_fence: bool = True


class FleetPlan(NamedTuple):
    """All processes of a fleet, and the speed of its stand-ins."""

    user: str
    """Directory under ``examples/`` that holds the templates and teams."""
    region: str
    routers: tuple[RouterPlan, ...]
    servers: tuple[ServerPlan, ...]
    token_interval_s: float = 0.01
    work_s: float = 0.02
    """Duration of a call to a plain service."""
    cache_blocks: int = 4096
    cold_start: bool = True
    host_lag_s: float = 0.5
    drain_timeout_s: float = 10.0

    @property
    def hosts(self) -> tuple[RouterPlan | ServerPlan, ...]:
        """Routers and servers; each has one entry in the host list."""
        hosts: list[RouterPlan | ServerPlan] = [*self.routers, *self.servers]
        return tuple(hosts)

    @property
    def engines(self) -> tuple[ServerPlan, ...]:
        """Servers that run a model engine."""
        return tuple(server for server in self.servers if not server.service)

    @property
    def services(self) -> tuple[ServerPlan, ...]:
        """Servers that run a plain service."""
        return tuple(server for server in self.servers if server.service)


def _plan_servers(
    *, dcs: tuple[str, ...], engines: int, service: str, services: int, models: tuple[str, ...]
) -> tuple[ServerPlan, ...]:
    planned = [
        # Every third engine ignores fencing tokens, because some engines of both users do.
        ServerPlan(f"engine-{i + 1}", dcs[i % len(dcs)], models=models, honours_fence=i % 3 != 2)
        for i in range(engines)
    ]
    planned += [
        ServerPlan(f"{service}-{i + 1}", dcs[i % len(dcs)], service=service)
        for i in range(services)
    ]
    return tuple(planned)


def plan_imigongo() -> FleetPlan:
    """Return the fleet of Imigongo: 3 data centres, 2 routers, 6 engines, 3 booking servers.

    >>> plan = plan_imigongo()
    >>> len(plan.routers), len(plan.engines), len(plan.services)
    (2, 6, 3)
    """
    dcs = ("kgl-a", "kgl-b", "kgl-c")
    return FleetPlan(
        user="imigongo",
        region="kigali",
        routers=tuple(RouterPlan(f"router-{i + 1}", dcs[i]) for i in range(2)),
        servers=_plan_servers(
            dcs=dcs, engines=6, service="booking", services=3, models=("tag", "draft", "chat")
        ),
    )


def plan_sabarmati() -> FleetPlan:
    """Return the fleet of Sabarmati: 3 data centres, 2 routers, 5 engines, 3 repair desk servers.

    >>> plan = plan_sabarmati()
    >>> len(plan.routers), len(plan.engines), len(plan.services)
    (2, 5, 3)
    """
    dcs = ("amd-a", "amd-b", "amd-c")
    return FleetPlan(
        user="sabarmati",
        region="ahmedabad",
        routers=tuple(RouterPlan(f"router-{i + 1}", dcs[i]) for i in range(2)),
        servers=_plan_servers(
            dcs=dcs, engines=5, service="repair_desk", services=3, models=("bench", "report")
        ),
    )
