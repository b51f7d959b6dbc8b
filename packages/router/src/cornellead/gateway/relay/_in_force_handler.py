"""HTTP handler that tells routers that start what is in force at this one."""

from __future__ import annotations

from typing import TYPE_CHECKING
from urllib.parse import parse_qsl

from cornellead.gateway.relay._in_force import InForce
from cornellead.gateway.relay._in_force import encode_in_force
from cornellead_core.routing import Topic

if TYPE_CHECKING:
    from collections.abc import Callable

    from cornellead.gateway.ingress import CallerRequest
    from cornellead.gateway.ingress import ResponseWriter
    from cornellead.gateway.view import FleetView

IN_FORCE_PATH = "/in-force"


class InForceHandler:
    """Handles ``GET /in-force?above=<version>``: the configuration is sent if it is later."""

    def __init__(self, *, view: FleetView, clock: Callable[[], float]) -> None:
        self._view = view
        self._clock = clock

    def handle(self, req: CallerRequest, out: ResponseWriter) -> None:
        """Respond with what is in force, with 400 to an invalid request, or with 503 until there is
        a configuration."""
        query = dict(parse_qsl(req.target.partition(b"?")[2].decode("latin-1")))
        try:
            above = int(query.get("above", "-1"))
        except ValueError:
            out.respond(400, (), b"")
            return
        cfg, history = self._view.config, self._view.history
        if cfg is None:
            out.respond(503, (), b"")
            return
        restored_at = history.restored_at(Topic.OPERATOR)
        in_force = InForce(
            version=cfg.version,
            routing=cfg.data if cfg.version > above else None,
            data_centres=tuple(sorted(self._view.servers.data_centres_out_of_service)),
            era=history.latest(Topic.OPERATOR),
            restored_age_s=None if restored_at is None else self._clock() - restored_at,
        )
        out.respond(200, (), encode_in_force(in_force))
