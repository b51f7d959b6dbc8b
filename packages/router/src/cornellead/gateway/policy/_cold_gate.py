"""Share of one router in the requests that a cold server bears."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cornellead_core.placement import rank_members

if TYPE_CHECKING:
    from collections.abc import Sequence

MAX_SENDERS = 4
"""Routers that send to one cold server, if the server bears as many requests at once besides its
rate. More would each get a smaller part of the rate."""


class ColdGate:
    """Limits the requests that this router sends to cold servers.

    Load: servers that join or return while traffic is high, with many routers that do not see each
    other's requests. The routers share the rate of a server without messages: of all routers, the
    first few in rendezvous order of the server send to it, each an equal part of its rate.

    :param router: Name of this router.
    :param slack: Requests in one second that a cold server bears besides its rate: each sender may
        send one request at once.

    >>> gate = ColdGate(router="r1", slack=5.0)
    >>> gate.try_send("s1", rate_per_s=2.0, routers=["r1"], now=0.0)
    True
    >>> gate.try_send("s1", rate_per_s=2.0, routers=["r1"], now=0.4)
    False
    >>> gate.try_send("s1", rate_per_s=2.0, routers=["r1"], now=0.5)
    True
    """

    def __init__(self, *, router: str, slack: float) -> None:
        self._router = router
        self.slack = slack
        self._next_at: dict[str, float] = {}

    def opens_at(
        self, server: str, *, rate_per_s: float, routers: Sequence[str], now: float
    ) -> float | None:
        """Return when the next request may be sent, or ``None`` if other routers send.

        :param rate_per_s: Requests a second that the server bears from all routers.
        :param routers: Names of the running routers.
        :param now: Seconds.
        """
        if rate_per_s <= 0 or self._interval_s(server, rate_per_s, routers) is None:
            return None
        return max(now, self._next_at.get(server, now))

    def try_send(
        self, server: str, *, rate_per_s: float, routers: Sequence[str], now: float
    ) -> bool:
        """Count a request to a cold server if it may be sent now."""
        interval_s = self._interval_s(server, rate_per_s, routers)
        if interval_s is None or now < self._next_at.get(server, now):
            return False
        self._next_at[server] = now + interval_s
        return True

    def forget(self, server: str) -> None:
        """Drop what is known of a server that left."""
        self._next_at.pop(server, None)

    def _interval_s(self, server: str, rate_per_s: float, routers: Sequence[str]) -> float | None:
        members = sorted({*routers, self._router})
        most = max(1, min(MAX_SENDERS, int(self.slack)))
        senders = rank_members(server, members)[:most]
        if self._router not in senders or rate_per_s <= 0:
            return None
        return len(senders) / rate_per_s
