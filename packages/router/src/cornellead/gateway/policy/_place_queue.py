"""Order and bounds of the requests that wait in the router for a place at a server."""

from __future__ import annotations

from collections import Counter
from collections import deque
from typing import TYPE_CHECKING
from typing import NamedTuple

from cornellead.gateway.policy._place_share import count_places
from cornellead.gateway.policy._place_share import share_places

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Mapping

    from cornellead.gateway.policy._place_share import ServerLoad

MAX_HELD = 256
"""Maximum number of requests that one router holds for a service: as many as a model server runs
and queues. A router that holds more serves none of the last ones before their deadlines."""
SHARE_HALF_LIFE_S = 2.0
"""Half-life of the places that count for a team: about the duration of a request."""
RATE_WINDOW_S = 1.0
"""Time over which the rate of places is measured: requests last a second or less."""
NEWS_DELAY_S = 0.1
"""Time after which a free place is still seen, until reports show that it is used: the mean age of
the reports of other routers."""
MIN_RATE_SAMPLES = 4
"""Places in that time below which no request is refused for its expected wait."""


class HeldRequest(NamedTuple):
    """A request that waits for a place. Times are in seconds."""

    number: int
    """Order of arrival; unique in a queue."""
    team: str
    urgency: int
    """0 is the most urgent."""
    late_at: float
    """When a send becomes too late for the latency target."""
    give_up_at: float
    """When a send becomes too late for the caller."""


class PlaceQueue:
    """Requests of one service that wait in one router.

    A place goes to the most urgent request, among these to one that can meet its target, then to
    the team that had the fewest places lately, then to the earliest target. A team that asks for
    less than an equal share is always among those that had the fewest, so it gets all it asks for.

    The place of an own request that ended may be used again at once. Others are used in part, and
    only as fast as reports can show them to be used, since all routers see the same ones.

    :param max_held: Maximum number of requests.
    """

    def __init__(self, *, max_held: int = MAX_HELD) -> None:
        self._max_held = max_held
        self._held: dict[int, HeldRequest] = {}
        self._places: dict[str, float] = {}
        self._decayed_at = 0.0
        self._given_at = deque[float]()
        self._credits: dict[int, float] = {}
        self._ended = 0.0
        self._turn_at = 0.0

    def __len__(self) -> int:
        return len(self._held)

    @property
    def used_at(self) -> float:
        """Time at which places were last looked for, in seconds."""
        return self._turn_at

    def counts(self) -> dict[int, int]:
        """Return the number of requests by urgency."""
        return dict(Counter(held.urgency for held in self._held.values()))

    def add(self, req: HeldRequest, *, now: float) -> HeldRequest | None:
        """Hold a request; return the one that has to go because the queue is full, if any.

        :param now: Seconds.
        """
        self._held[req.number] = req
        if len(self._held) <= self._max_held:
            return None
        self._decay(now)
        waiting = Counter((held.urgency, held.team) for held in self._held.values())
        last = max(
            self._held.values(),
            key=lambda held: (
                held.urgency,
                waiting[held.urgency, held.team] + self._places.get(held.team, 0.0),
                held.number,
            ),
        )
        return self._held.pop(last.number)

    def remove(self, req: HeldRequest) -> None:
        """Remove a request that no longer waits."""
        self._held.pop(req.number, None)

    def expected_wait_s(self, req: HeldRequest, *, now: float) -> float:
        """Return the expected time until a request gets a place; 0 if the rate is unknown."""
        self._forget_places(now)
        if len(self._given_at) < MIN_RATE_SAMPLES:
            return 0.0
        ahead = sum(1 for held in self._held.values() if held.urgency < req.urgency)
        waiting = Counter(held.team for held in self._held.values() if held.urgency == req.urgency)
        own = waiting[req.team] + (req.number not in self._held)
        ahead += sum(min(count, own) for team, count in waiting.items() if team != req.team)
        # A queue that has just formed has given places for less than the window.
        measured_s = max(NEWS_DELAY_S, now - self._given_at[0])
        return (ahead + own) * measured_s / len(self._given_at)

    def take_ready(
        self,
        servers: Iterable[ServerLoad],
        others: Mapping[int, float],
        *,
        now: float,
    ) -> list[HeldRequest]:
        """Remove and return the requests that get a place now.

        :param servers: Load of each server that may run them.
        :param others: What other routers hold, by urgency.
        """
        elapsed_s = min(NEWS_DELAY_S, max(0.0, now - self._turn_at))
        self._turn_at = now
        if not self._held:
            self._ended, self._credits = 0.0, {}
            return []
        self._decay(now)
        free = count_places(servers)
        ready: list[HeldRequest] = []
        for urgency, count in sorted(self.counts().items()):
            preceding = {other: held for other, held in others.items() if other <= urgency}
            share = share_places(free, {urgency: count}, preceding)
            known = self._credits.get(urgency, 0.0)
            credit = min(max(1.0, free.total), known + share * elapsed_s / NEWS_DELAY_S)
            if not others:
                # No other router waits for these places.
                credit = max(credit, float(int(share)))
            while count and credit + self._ended >= 1.0 and len(ready) < free.total:
                if self._ended >= 1.0:
                    self._ended -= 1.0
                else:
                    credit -= 1.0 - self._ended
                    self._ended = 0.0
                count -= 1
                ready.append(self._take_next(urgency, now))
            self._credits[urgency] = credit
        return ready

    def record_end(self) -> None:
        """Record that a request of this router left a server that has room for another one."""
        if self._held:
            self._ended = min(self._ended + 1.0, len(self._held))

    def take_all(self) -> list[HeldRequest]:
        """Remove and return all requests, in the order of their arrival."""
        held, self._held = list(self._held.values()), {}
        return held

    def take_expired(self, *, now: float) -> list[HeldRequest]:
        """Remove and return the requests that can no longer be served."""
        expired = [held for held in self._held.values() if held.give_up_at <= now]
        for held in expired:
            del self._held[held.number]
        return expired

    def _take_next(self, urgency: int, now: float) -> HeldRequest:
        first = min(
            (held for held in self._held.values() if held.urgency == urgency),
            key=lambda held: (
                held.late_at <= now,
                self._places.get(held.team, 0.0),
                held.late_at,
                held.number,
            ),
        )
        del self._held[first.number]
        self._places[first.team] = self._places.get(first.team, 0.0) + 1.0
        self._given_at.append(now)
        return first

    def _decay(self, now: float) -> None:
        factor = 0.5 ** (max(0.0, now - self._decayed_at) / SHARE_HALF_LIFE_S)
        self._decayed_at = now
        for team in list(self._places):
            self._places[team] *= factor
            if self._places[team] < 1e-3:
                del self._places[team]

    def _forget_places(self, now: float) -> None:
        while self._given_at and now - self._given_at[0] > RATE_WINDOW_S:
            self._given_at.popleft()
