"""Asks other routers, after the start of this one, what is in force at them."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import structlog
from returns.result import Failure

from cornellead.gateway.relay._in_force import decode_in_force
from cornellead.gateway.relay._in_force_handler import IN_FORCE_PATH
from cornellead.gateway.view import MAX_BEHIND_S
from cornellead.gateway.view import SETTLE_S
from cornellead_core.routing import UNKNOWN_ERA
from cornellead_core.routing import RoutingNotice
from cornellead_core.routing import Topic

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

    from cornellead.gateway.relay._in_force import InForce
    from cornellead.gateway.view import FleetView
    from cornellead_core.routing import HttpClient
    from cornellead_core.routing import Notice
    from cornellead_core.routing import NoticeBatch

RESPONSE_TIMEOUT_S = 0.3
"""Time by which a router that does not answer delays the first configuration."""
MAX_VERSION = (1 << 63) - 1
RETRY_S = 1.0
"""Time between requests while no router has answered."""
HTTP_OK = 200


class InForceClient:
    """Adds to the newest records of a store that may have come back from a copy, which a router
    that starts takes for the newest state, what other routers know besides.

    Routers that serve keep what is in force, so one answer is enough. It is asked for once, and
    while there is none for as long as a restored store takes to settle.
    """

    def __init__(self, *, view: FleetView, http: HttpClient, clock: Callable[[], float]) -> None:
        self._view = view
        self._http = http
        self._clock = clock
        self._ends_at: float | None = None
        self._next_at = float("-inf")
        self._answered = False
        self._learned: list[Notice] = []

    def is_due(self) -> bool:
        """Return whether to ask other routers now."""
        now = self._clock()
        open_until = now if self._ends_at is None else self._ends_at
        return not self._answered and self._next_at <= now <= open_until

    async def ask(self, addresses: Iterable[str], *, above: int) -> None:
        """Ask routers, and keep what the one with the latest version has for `complete`.

        :param above: Version of the configuration that this router has; -1 without one.
        """
        now = self._clock()
        self._ends_at = now + SETTLE_S if self._ends_at is None else self._ends_at
        self._next_at = now + RETRY_S
        asked = list(addresses)
        responses = await asyncio.gather(*(self._fetch(address, MAX_VERSION) for address in asked))
        answers = [
            (in_force, address)
            for in_force, address in zip(responses, asked, strict=True)
            if in_force is not None
        ]
        if not answers:
            return
        latest, address = max(answers, key=lambda answer: (answer[0].version, answer[0].era))
        if latest.version > above:
            # One router is asked for the configuration, which may be large.
            with_config = await self._fetch(address, above)
            if with_config is None:
                return
            latest = with_config
        self._answered = True
        self._adopt_restore(latest)
        self._learned = latest.notices
        structlog.get_logger().info(
            "configuration compared",
            config=above,
            in_force=latest.version,
            out=list(latest.data_centres),
            routers=len(answers),
            restored_age_s=latest.restored_age_s,
        )

    def complete(self, batch: NoticeBatch) -> NoticeBatch:
        """Add what was learned to a batch of the operators' topic."""
        learned, self._learned = self._learned, []
        return batch._replace(not_stored=tuple(learned)) if learned else batch

    async def _fetch(self, address: str, above: int) -> InForce | None:
        target = f"{IN_FORCE_PATH}?above={above}"
        result = await self._http.call(address, "GET", target, timeout_s=RESPONSE_TIMEOUT_S)
        if isinstance(result, Failure) or result.unwrap().status != HTTP_OK:
            return None
        return decode_in_force(result.unwrap().body)

    def _adopt_restore(self, in_force: InForce) -> None:
        """Record a restore that the other router has met, or is about to meet, as one of this."""
        history, now = self._view.history, self._clock()
        age_s = in_force.restored_age_s
        if UNKNOWN_ERA < in_force.era < history.latest(Topic.OPERATOR):
            age_s = 0.0
        if age_s is not None and age_s < MAX_BEHIND_S:
            history.adopt_restore(Topic.OPERATOR, restored_at=now - age_s)


def newest_version(notices: Iterable[Notice]) -> int:
    """Return the latest version among notices; -1 if there is none."""
    routing = [n.data for n in notices if isinstance(n, RoutingNotice)]
    return max((data.version for data in routing if data is not None), default=-1)
