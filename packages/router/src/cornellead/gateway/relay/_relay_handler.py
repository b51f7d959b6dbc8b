"""HTTP handler that serves this router's notices to other routers."""

from __future__ import annotations

from typing import TYPE_CHECKING
from urllib.parse import parse_qsl

from cornellead.gateway.relay._in_force_handler import IN_FORCE_PATH
from cornellead.gateway.relay._in_force_handler import InForceHandler
from cornellead.gateway.relay._relay_codec import MAX_OFFSET
from cornellead.gateway.relay._relay_codec import encode_page
from cornellead_core.routing import UNKNOWN_ERA
from cornellead_core.routing import Position
from cornellead_core.routing import Topic

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Mapping

    from cornellead.gateway.ingress import CallerRequest
    from cornellead.gateway.ingress import ResponseWriter
    from cornellead.gateway.relay._change_log import ChangeLog
    from cornellead.gateway.view import FleetView

PATH_PREFIX = "/notices/"
ERA_HEADER = "Notices-Era"
"""Header of a page with the era that its offsets belong to; routers of an earlier build ignore it,
and reject a page with another field."""
MAX_WAIT_S = 2.0
"""Maximum time for which a read is held while there are no changes."""


class RelayHandler:
    """Handles ``GET /notices/<topic>?after=<offset>&era=<era>&wait=<seconds>&reader=1``.

    With ``reader``, the other router relies on this one to read the store. ``era`` is the latest
    one of the store that the other router has met in the topic. With ``versions=1``, the page
    includes the versions of servers and the rollouts, and with ``counts=1`` the counts of entries;
    with ``ended=1`` also those of all servers that were removed recently. ``/in-force`` is passed
    on.
    """

    def __init__(
        self, *, logs: Mapping[Topic, ChangeLog], view: FleetView, clock: Callable[[], float]
    ) -> None:
        self._logs = logs
        self._in_force = InForceHandler(view=view, clock=clock)
        self._clock = clock

    async def handle(self, req: CallerRequest, out: ResponseWriter) -> None:
        """Respond with a page, with 400 or 404 to an invalid request, or with 503 until the first
        notices were read, to a router that relies on this one while it does not read the store, and
        to one that has met a later era.
        """
        if req.path == IN_FORCE_PATH:
            self._in_force.handle(req, out)
            return
        topic = req.path.removeprefix(PATH_PREFIX)
        if topic not in list(Topic):
            out.respond(404, (), b"")
            return
        log = self._logs[Topic(topic)]
        query = dict(parse_qsl(req.target.partition(b"?")[2].decode("latin-1")))
        try:
            era = int(query.get("era", UNKNOWN_ERA))
            position = Position(int(query["after"]), era) if "after" in query else None
            wait_s = min(MAX_WAIT_S, float(query.get("wait", "0")))
        except ValueError:
            out.respond(400, (), b"")
            return
        if position is not None and not 0 <= position.offset <= MAX_OFFSET:
            out.respond(400, (), b"")
            return
        relied_on = "reader" in query
        if position is not None and wait_s > 0 and (log.from_store or not relied_on):
            await log.wait(position, timeout_s=wait_s)
        page = log.read(position, now=self._clock())
        if page is None or (relied_on and not log.from_store) or UNKNOWN_ERA < page.era < era:
            out.respond(503, (), b"")
            return
        if "ended" in query:
            page = page._replace(counts=(*page.counts, *log.ended_counts()))
        headers = () if page.era == UNKNOWN_ERA else ((ERA_HEADER.encode(), b"%d" % page.era),)
        body = encode_page(page, versions="versions" in query, counts="counts" in query)
        out.respond(200, headers, body)
