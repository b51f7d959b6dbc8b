"""Builds the gateway's representation of emulated requests."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cornellead.gateway.forwarding import AdmittedRequest
from cornellead.gateway.ingress import CallerRequest
from cornellead.gateway.policy import RequestAttempts
from cornellead_core.routing import CallerHeaders
from cornellead_core.routing import RequestKind
from cornellead_core.routing import Route
from cornellead_core.routing import Service
from cornellead_core.routing import WeightedService

if TYPE_CHECKING:
    from cornellead_emulator.routing._fleet_settings import FleetSettings
    from cornellead_emulator.traffic import ChatRequest

SERVICE_NAME = "models"
REQUEST_TARGET = b"/chat/"


class GatewayRequestFactory:
    """Converts emulated requests into requests that the gateway has admitted to one service."""

    def __init__(self, *, settings: FleetSettings) -> None:
        self._settings = settings
        server = settings.server
        self.service = Service(
            name=SERVICE_NAME,
            max_connections=0,
            cold_start_s=server.cold_s,
            cold_rate_per_s=server.cold_rate_per_s,
            slots=server.slots,
            kv_capacity_tokens=server.memory_tokens,
        )
        self._routes: dict[str, Route] = {}

    def build(self, req: ChatRequest, *, now: float) -> AdmittedRequest:
        """Return the gateway's representation of a request.

        :param now: Simulated seconds.
        """
        session_part = req.prompt[-2]
        return AdmittedRequest(
            req=CallerRequest(b"POST", REQUEST_TARGET, [], b"", now),
            caller=CallerHeaders(
                request_id=req.request_id,
                api_key="",
                time_left_s=req.deadline - now,
                prompt=req.prompt,
                prompt_tokens=sum(part.tokens for part in req.prompt),
                max_output_tokens=req.output_tokens,
                last_event="",
                forwarded=[],
                ambiguous=False,
            ),
            route=self._route_for(req),
            service=self.service,
            team="",
            urgency=req.request_class.urgency,
            regions=frozenset(),
            affinity=session_part.part,
            shared_tokens=sum(part.tokens for part in req.prompt[:-1]),
            parts=tuple(part.part for part in req.prompt[:-1]),
            attempts=RequestAttempts(
                repeatable=False,
                max_attempts=self._settings.max_attempts,
                deadline=req.deadline,
            ),
            config_version=1,
        )

    def _route_for(self, req: ChatRequest) -> Route:
        request_class = req.request_class
        route = self._routes.get(request_class.name)
        if route is None:
            route = Route(
                name=request_class.name,
                host="",
                path_prefix=REQUEST_TARGET.decode(),
                kind=RequestKind.STREAMING,
                timeout_s=request_class.deadline_s,
                target_latency_s=request_class.aim_s,
                priority=request_class.urgency,
                services=(WeightedService(SERVICE_NAME, 1.0),),
                max_attempts=self._settings.max_attempts,
                public=True,
                resumable=False,
                target_gap_s=0.0,
            )
            self._routes[request_class.name] = route
        return route
