"""Admission of requests: route and team lookup, and the refusals before routing."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cornellead.gateway.forwarding._admitted_request import AdmittedRequest
from cornellead.gateway.forwarding._admitted_request import RefusalResponse
from cornellead.gateway.ingress import ServingPhase
from cornellead.gateway.policy import RequestAttempts
from cornellead.gateway.policy import expected_outage_s
from cornellead.gateway.policy import retry_after_s
from cornellead.gateway.policy import split_service
from cornellead.gateway.quarantine import part_key

if TYPE_CHECKING:
    from cornellead.gateway.ingress import CallerRequest
    from cornellead.gateway.ingress import ServingState
    from cornellead.gateway.quarantine import QuarantinedPart
    from cornellead.gateway.view import FleetView
    from cornellead_core.routing import CallerHeaders
    from cornellead_core.routing import Route
    from cornellead_core.routing import Team

NOT_READY_RETRY_AFTER_S = 0.3
"""Retry-After of a router without a configuration: it usually has one by then, or the load balancer
has moved the caller to another router."""
OTHER_ROUTER_RETRY_AFTER_S = 0.05
"""Retry-After if another router can serve the request; a new connection usually reaches one."""

MIN_QUARANTINE_RETRY_S = 5.0
"""Minimum Retry-After for a part on probation, of which one request at a time is let through."""


class Admission:
    """Finds the route, team and service of a request, or the reason to refuse it.

    :param max_config_age_s: Age of the configuration above which an unknown route or key is
        rejected with 503 instead of 404 or 401: the time within which a newer configuration, which
        may contain it, has to be in force.
    """

    def __init__(self, *, view: FleetView, serving: ServingState, max_config_age_s: float) -> None:
        self._view = view
        self._serving = serving
        self.max_config_age_s = max_config_age_s

    def admit(
        self, req: CallerRequest, caller: CallerHeaders, *, now: float
    ) -> AdmittedRequest | RefusalResponse:
        """Return the admitted request, or the response that refuses it.

        :param now: Seconds, by the clock that set ``req.received_at``.
        """
        if self._serving.phase >= ServingPhase.REFUSING:
            self._serving.refused += 1
            return stopping_refusal()
        cfg = self._view.config
        if cfg is None or not self._view.ready:
            return self._refuse_not_ready(caller, now=now)
        if caller.ambiguous or not caller.request_id:
            return RefusalResponse(400, "ambiguous_or_missing_header")
        stale = self._view.config_age_s(now=now) > self.max_config_age_s
        route = cfg.match(req.header(b"host"), req.path)
        if route is None:
            return _refuse_if_stale(stale) or RefusalResponse(404, "no_route")
        team = None if route.public else cfg.team_of(caller.api_key)
        if team is None and cfg.keys_required and not route.public:
            return _refuse_if_stale(stale) or RefusalResponse(401, "unknown_key")
        parts = tuple(part_key(part.part) for part in caller.prompt[:-1])
        refused = self._view.guard.find_refused(parts, routers=self._view.routers(now=now), now=now)
        if refused is not None:
            return refuse_quarantined(refused, now=now)
        affinity = _affinity_key(caller)
        name = split_service(
            [(weighted.service, weighted.weight) for weighted in route.services],
            affinity or caller.request_id,
        )
        service = cfg.services.get(name)
        if service is None:
            return RefusalResponse(503, "unknown_service", NOT_READY_RETRY_AFTER_S)
        time_left_s = caller.time_left_s
        timeout_s = route.timeout_s if time_left_s is None else min(route.timeout_s, time_left_s)
        return AdmittedRequest(
            req=req,
            caller=caller,
            route=route,
            service=service,
            team="" if team is None else team.name,
            urgency=_urgency(route, team),
            regions=_allowed_regions(route, team),
            affinity=part_key(affinity) if service.kv_capacity_tokens else "",
            shared_tokens=sum(part.tokens for part in caller.prompt[:-1]),
            parts=parts,
            attempts=RequestAttempts(
                repeatable=route.repeatable,
                max_attempts=route.max_attempts,
                deadline=req.received_at + timeout_s,
            ),
            config_version=cfg.version,
        )

    def _refuse_not_ready(self, caller: CallerHeaders, *, now: float) -> RefusalResponse:
        outage_s = self._view.outage_s(now=now)
        if outage_s is None:
            return RefusalResponse(503, "no_configuration", NOT_READY_RETRY_AFTER_S)
        retry_s = retry_after_s(
            wait_s=expected_outage_s(outage_s),
            time_left_s=caller.time_left_s,
            request_id=caller.request_id,
        )
        return RefusalResponse(503, "no_configuration_store_out", retry_s)


def stopping_refusal() -> RefusalResponse:
    """Return the refusal of a request that another router serves before this one exits."""
    return RefusalResponse(503, "stopping", OTHER_ROUTER_RETRY_AFTER_S)


def refuse_quarantined(held: QuarantinedPart, *, now: float) -> RefusalResponse:
    """Return the refusal of a request with a quarantined part."""
    retry_s = max(MIN_QUARANTINE_RETRY_S, held.until - now)
    return RefusalResponse(503, "prompt_quarantined", retry_s, note=f"part_{held.part}")


def _refuse_if_stale(stale: bool) -> RefusalResponse | None:
    return (
        RefusalResponse(503, "stale_configuration", OTHER_ROUTER_RETRY_AFTER_S) if stale else None
    )


def _urgency(route: Route, team: Team | None) -> int:
    return route.priority if team is None or team.priority is None else team.priority


def _allowed_regions(route: Route, team: Team | None) -> frozenset[str]:
    team_regions = team.regions if team is not None else frozenset()
    return (
        route.regions & team_regions
        if route.regions and team_regions
        else route.regions | team_regions
    )


def _affinity_key(caller: CallerHeaders) -> str:
    """Return the key by which requests with a common prompt prefix are placed on the same server.

    The last part of a prompt belongs to this request only, so the key is the part before it. A
    prompt of one part is its own key; without a prompt the key is empty.
    """
    if len(caller.prompt) > 1:
        return caller.prompt[-2].part
    return caller.prompt[0].part if caller.prompt else ""
