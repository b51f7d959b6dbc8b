"""Reports of work at servers: pending prefill and work factors."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Annotated
from typing import NamedTuple

import msgspec

from cornellead.gateway.gossip import MAX_COUNT
from cornellead.gateway.gossip import Age
from cornellead.gateway.gossip import Count
from cornellead.gateway.gossip import RouterName

if TYPE_CHECKING:
    from cornellead.gateway.view import FleetView
    from cornellead.gateway.view import ServerState

WORK_PREFIX = b"\xc1\xc4"
"""First bytes of datagrams with work at servers."""
MIN_PENDING_TOKENS = 4000
"""Pending tokens below which nothing is reported: servers prefill them before the report counts."""
MAX_ITEMS = 8
"""Maximum servers of a report, so that load reports are not sent more rarely because of it."""
NEWS_MAX_AGE_S = 1.0
"""Age up to which the factor of a response is reported."""

Factor = Annotated[float, msgspec.Meta(ge=0.1, le=100.0)]


class WorkItem(NamedTuple):
    """Work at one server."""

    server: int
    """Hash of the server name."""
    pending_tokens: Count
    """Pending prefill of the reporting router."""
    factor: Factor | None
    """Work factor in the latest response; ``None`` if there was none lately."""
    age_s: Age


class WorkReport(NamedTuple):
    """Message between routers. Ages are used, since the clocks of routers differ."""

    router: RouterName
    items: list[WorkItem]


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(WorkReport)


class WorkChannel:
    """Work at servers; nothing is sent if servers report no factors and little is pending."""

    prefix = WORK_PREFIX
    has_news = False

    def __init__(self, *, view: FleetView) -> None:
        self._view = view
        self._position = 0

    def encode(self, *, now: float) -> bytes | None:
        """Return the next report: first the servers with the most pending prefill."""
        servers = self._view.servers.states()
        pending = [s for s in servers if s.prompts.own_pending_tokens >= MIN_PENDING_TOKENS]
        pending.sort(key=lambda state: -state.prompts.own_pending_tokens)
        items = [self._make_item(state, now=now) for state in pending[:MAX_ITEMS]]
        heard = [s for s in servers if s.work.age_s(now=now) <= NEWS_MAX_AGE_S and s not in pending]
        room = min(MAX_ITEMS - len(items), len(heard))
        for offset in range(room):
            state = heard[(self._position + offset) % len(heard)]
            items.append(self._make_item(state, now=now))
        self._position += room
        return _encoder.encode(WorkReport(self._view.router, items)) if items else None

    def apply(self, data: bytes, *, now: float) -> None:
        """Apply the report of another router."""
        report = _decoder.decode(data)
        for item in report.items:
            state = self._view.servers.by_hash(item.server)
            if state is None:
                continue
            state.prompts.record_report(report.router, item.pending_tokens, now=now)
            if item.factor is not None:
                state.work.record_report(item.factor, at=now - item.age_s)

    def _make_item(self, state: ServerState, *, now: float) -> WorkItem:
        age_s = state.work.age_s(now=now)
        heard = age_s <= NEWS_MAX_AGE_S
        return WorkItem(
            state.name_hash,
            min(state.prompts.own_pending_tokens, MAX_COUNT),
            round(state.work.value(now=now), 2) if heard else None,
            age_s if heard else 0.0,
        )
