"""Which requests are admitted."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cornellead.gateway.forwarding._job import Job
from cornellead.gateway.forwarding._job import Rejected
from cornellead.gateway.ingress import ServingPhase
from cornellead.gateway.policy import RequestRights
from cornellead.gateway.policy import outage_wait_s
from cornellead.gateway.policy import retry_after_s
from cornellead.gateway.policy import split_service

if TYPE_CHECKING:
    from cornellead.gateway.beliefs import FleetView
    from cornellead.gateway.ingress import CallerRequest
    from cornellead.gateway.ingress import Serving
    from cornellead_core.routing import CallerHeaders
    from cornellead_core.routing import Route
    from cornellead_core.routing import Team

CONFIG_TRUST_S = 3.0
"""Age up to which the configuration proves that a route or key does not exist: the store confirms
it about once a second."""
UNREADY_RETRY_S = 0.3
"""Time in which a router that has not learned the configuration yet usually does, or in which the
balancer turns to another one."""
ELSEWHERE_RETRY_S = 0.05
"""A caller that comes back on a new connection reaches another router."""


class Admission:
    """Finds the route and team of a request, or the reason to reject it."""

    def __init__(self, *, view: FleetView, serving: Serving) -> None:
        self._view = view
        self._serving = serving

    def admit(self, req: CallerRequest, caller: CallerHeaders, *, now: float) -> Job | Rejected:
        """Decide on a request.

        :param now: Seconds.
        """
        if self._serving.phase >= ServingPhase.REFUSING:
            return Rejected(503, "stopping", ELSEWHERE_RETRY_S)
        cfg = self._view.config
        if cfg is None or not self._view.ready:
            return self._unready(caller, now=now)
        if caller.ambiguous or not caller.request_id:
            return Rejected(400, "ambiguous_or_missing_header")
        stale = self._view.config_age_s(now=now) > CONFIG_TRUST_S
        route = cfg.match(req.header(b"host"), req.path)
        if route is None:
            return _unproven(stale) or Rejected(404, "no_route")
        team = None if route.public else cfg.team_of(caller.api_key)
        if team is None and cfg.keys_required and not route.public:
            return _unproven(stale) or Rejected(401, "unknown_key")
        affinity = _affinity(caller)
        name = split_service(
            [(share.service, share.weight) for share in route.services],
            affinity or caller.request_id,
        )
        service = cfg.services.get(name)
        if service is None:
            return Rejected(503, "unknown_service", UNREADY_RETRY_S)
        left_s = caller.time_left_s
        wait_s = route.timeout_s if left_s is None else min(route.timeout_s, left_s)
        return Job(
            req=req,
            caller=caller,
            route=route,
            service=service,
            team="" if team is None else team.name,
            urgency=_urgency(route, team),
            regions=_regions(route, team),
            affinity=affinity if service.kv_capacity_tokens else "",
            shared_tokens=sum(part.tokens for part in caller.prompt[:-1]),
            rights=RequestRights(
                repeatable=route.repeatable,
                max_attempts=route.max_attempts,
                deadline=req.received_at + wait_s,
            ),
            config_version=cfg.version,
        )

    def _unready(self, caller: CallerHeaders, *, now: float) -> Rejected:
        outage_s = self._view.outage_s(now=now)
        if outage_s is None:
            return Rejected(503, "no_configuration", UNREADY_RETRY_S)
        wait_s = retry_after_s(
            wait_s=outage_wait_s(outage_s),
            time_left_s=caller.time_left_s,
            request_id=caller.request_id,
        )
        return Rejected(503, "no_configuration_store_out", wait_s)


def _unproven(stale: bool) -> Rejected | None:
    return Rejected(503, "stale_configuration", ELSEWHERE_RETRY_S) if stale else None


def _urgency(route: Route, team: Team | None) -> int:
    return route.priority if team is None or team.priority is None else team.priority


def _regions(route: Route, team: Team | None) -> frozenset[str]:
    of_team = team.regions if team is not None else frozenset()
    return route.regions & of_team if route.regions and of_team else route.regions | of_team


def _affinity(caller: CallerHeaders) -> str:
    """Return the last part of the prompt that other requests share."""
    if len(caller.prompt) > 1:
        return caller.prompt[-2].part
    return caller.prompt[0].part if caller.prompt else ""
