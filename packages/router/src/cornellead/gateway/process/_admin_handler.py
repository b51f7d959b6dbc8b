"""Readiness and metrics endpoints of a gateway."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cornellead.gateway.ingress import ServingPhase

if TYPE_CHECKING:
    from cornellead.gateway.ingress import CallerRequest
    from cornellead.gateway.ingress import ResponseWriter
    from cornellead.gateway.ingress import ServingState
    from cornellead.gateway.view import FleetView
    from cornellead_core.metrics import Metrics

METRICS_PATH = "/metrics"
METRICS_HEADERS = ((b"Content-Type", b"text/plain; version=0.0.4; charset=utf-8"),)


class AdminHandler:
    """Serves the readiness check of the load balancer and the metrics.

    :param ready_path: Path of the readiness check.
    """

    def __init__(
        self, *, view: FleetView, serving: ServingState, metrics: Metrics, ready_path: str
    ) -> None:
        self._view = view
        self._serving = serving
        self._metrics = metrics
        self._ready_path = ready_path

    async def handle(self, req: CallerRequest, out: ResponseWriter) -> None:
        """Respond with readiness (200 or 503), metrics, or 404 for another path."""
        if req.path == self._ready_path:
            out.respond(200 if self._is_ready else 503, (), b"")
        elif req.path == METRICS_PATH:
            out.respond(200, METRICS_HEADERS, await self._metrics.render_in_background())
        else:
            out.respond(404, (), b"")

    @property
    def _is_ready(self) -> bool:
        return self._view.ready and self._serving.phase is ServingPhase.RUNNING
