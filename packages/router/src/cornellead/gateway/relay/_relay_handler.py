"""HTTP handler that serves this router's notices to other routers."""

from __future__ import annotations

from typing import TYPE_CHECKING
from urllib.parse import parse_qsl

from cornellead.gateway.relay._relay_codec import MAX_OFFSET
from cornellead.gateway.relay._relay_codec import encode_page
from cornellead_core.routing import Topic

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Mapping

    from cornellead.gateway.ingress import CallerRequest
    from cornellead.gateway.ingress import ResponseWriter
    from cornellead.gateway.relay._change_log import ChangeLog

PATH_PREFIX = "/notices/"
MAX_WAIT_S = 2.0
"""Maximum time for which a read is held while there are no changes."""


class RelayHandler:
    """Handles ``GET /notices/<topic>?after=<offset>&wait=<seconds>&reader=1``.

    With ``reader``, the other router relies on this one to read the store.
    """

    def __init__(self, *, logs: Mapping[Topic, ChangeLog], clock: Callable[[], float]) -> None:
        self._logs = logs
        self._clock = clock

    async def handle(self, req: CallerRequest, out: ResponseWriter) -> None:
        """Respond with a page, with 400 or 404 to an invalid request, or with 503 until the first
        notices were read, and to a router that relies on this one while it does not read the store.
        """
        topic = req.path.removeprefix(PATH_PREFIX)
        if topic not in list(Topic):
            out.respond(404, (), b"")
            return
        log = self._logs[Topic(topic)]
        query = dict(parse_qsl(req.target.partition(b"?")[2].decode("latin-1")))
        try:
            offset = int(query["after"]) if "after" in query else None
            wait_s = min(MAX_WAIT_S, float(query.get("wait", "0")))
        except ValueError:
            out.respond(400, (), b"")
            return
        if offset is not None and not 0 <= offset <= MAX_OFFSET:
            out.respond(400, (), b"")
            return
        relied_on = "reader" in query
        if offset is not None and wait_s > 0 and (log.from_store or not relied_on):
            await log.wait(offset, timeout_s=wait_s)
        page = log.read(offset, now=self._clock())
        if page is None or (relied_on and not log.from_store):
            out.respond(503, (), b"")
            return
        out.respond(200, (), encode_page(page))
