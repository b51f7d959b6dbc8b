"""One rollout as a router knows it."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

from cornellead_core.routing import RolloutPhase

if TYPE_CHECKING:
    from collections.abc import Iterable

    from cornellead_core.routing import RolloutOrder
    from cornellead_core.routing import RolloutRecord

MAX_SAMPLES = 64
"""Durations of the version in force that are kept for each route."""
MAX_REPORTERS = 2048
"""Maximum number of processes whose counts are kept."""
MAX_ROUTES = 256
"""Maximum number of routes whose counts are kept."""
MAX_ABANDONED = 16
"""Maximum number of earlier versions that are remembered as rolled back."""

Counts = tuple[int, int, int, int]
"""Responses of the new version, bad ones of them, and the same of the version in force."""
NO_COUNTS: Counts = (0, 0, 0, 0)


class Rollout:
    """Order, state in the store, and counts of the responses of both versions by route.

    :param now: Time in seconds at which the order was read.
    """

    def __init__(self, *, order: RolloutOrder, now: float) -> None:
        self.order = order
        self.withdrawn = False
        self.record: RolloutRecord | None = None
        """Last known state in the store, which may be that of an earlier order."""
        self.fault = ""
        """Why the new version is bad; empty if it is not."""
        self.fault_before = ""
        """The same for the order before this one, if its end is not yet in the store."""
        self.abandoned: tuple[str, ...] = ()
        """Versions of earlier orders that were bad or rolled back, the latest last. Their servers
        remain for some seconds, and are not in force."""
        self.rolled_back_at = float("inf")
        """Time in seconds at which this router learned that the rollout was rolled back."""
        self.replaced = ""
        """Version of the order before this one, if this router has not seen its completion."""
        self.fault_rounds = 0
        """Reports in which the fault is still to be sent at once."""
        self.reported_at = float("-inf")
        self.own: dict[str, Counts] = {}
        """Counts of this router by route."""
        self._started_at = now
        self._others: dict[tuple[str, int], dict[str, Counts]] = {}
        """Counts of other routers' processes by route."""
        self._first_s: dict[str, deque[float]] = {}
        self._total_s: dict[str, deque[float]] = {}

    @property
    def current(self) -> RolloutRecord | None:
        """State of this order in the store; ``None`` if there is none."""
        record = self.record
        if record is None or record.to != self.order.to:
            return None
        return None if record.phase.ended and not self._is_of_order(record) else record

    @property
    def open(self) -> bool:
        """Whether the end of the rollout is not yet in the store, or not yet told to operators."""
        record = self.record
        if record is None:
            return not self.withdrawn
        if not record.phase.ended or not record.announced:
            return True
        return not self.withdrawn and not self._is_of_order(record)

    @property
    def settled(self) -> bool:
        """Whether the rollout was completed and no longer depends on what is counted."""
        record = self.current
        return record is not None and record.phase is RolloutPhase.COMPLETED

    @property
    def moving(self) -> bool:
        """Whether all requests move to the new version, as far as `share` allows it."""
        record = self.current
        return record is not None and record.phase is RolloutPhase.MOVING

    @property
    def share(self) -> float:
        """Share of the requests that the new version gets at present, or of all since the order
        while they move; 0 without a state."""
        record = self.current
        if self.fault or record is None or record.phase is RolloutPhase.ROLLED_BACK:
            return 0.0
        if self.fault_before and not self._is_of_order(record):
            return 0.0
        return 0.0 if self.withdrawn and not record.phase.ended else record.share

    def elapsed_s(self, *, now: float) -> float:
        """Return the time since the order in seconds."""
        return max(0.0, now - self._started_at)

    def set_elapsed(self, elapsed_s: float, *, now: float) -> None:
        """Take over the time since the order from a router that read it earlier."""
        self._started_at = min(self._started_at, now - elapsed_s)

    def apply_record(self, record: RolloutRecord, *, now: float) -> None:
        """Apply the state in the store."""
        self.record = record
        if record.phase is RolloutPhase.ROLLED_BACK:
            if record.to == self.replaced:
                self.abandon((record.to,))
            if self._is_of_order(record):
                self.rolled_back_at = min(self.rolled_back_at, now)
        elif record.phase is RolloutPhase.COMPLETED:
            self.abandoned = tuple(name for name in self.abandoned if name != record.to)
            if record.to == self.replaced:
                self.replaced = ""
        if not self._is_of_order(record):
            return
        self.set_elapsed(record.elapsed_s, now=now)
        if record.phase is RolloutPhase.ROLLED_BACK and not self.withdrawn:
            self.fault = self.fault or record.reason
        elif record.phase is RolloutPhase.COMPLETED:
            # The old servers end, so a fault that was found too late cannot be avoided.
            self.fault, self.fault_rounds = "", 0

    def abandon(self, versions: Iterable[str]) -> None:
        """Remember versions of earlier orders that were bad or rolled back."""
        for version in versions:
            if version != self.order.to and version not in self.abandoned:
                self.abandoned = (*self.abandoned, version)[-MAX_ABANDONED:]

    def count(self, route: str, *, new: bool, bad: bool) -> None:
        """Count a response of this router's requests."""
        counts = self.own.get(route)
        if counts is None and len(self.own) >= MAX_ROUTES:
            return
        added: Counts = (new, new and bad, not new, not new and bad)
        self.own[route] = _add(counts or NO_COUNTS, added)

    def record_usual(self, route: str, *, first_s: float | None, total_s: float) -> None:
        """Record the duration of a good response of the version in force."""
        if first_s is not None:
            self._first_s.setdefault(route, deque(maxlen=MAX_SAMPLES)).append(first_s)
        self._total_s.setdefault(route, deque(maxlen=MAX_SAMPLES)).append(total_s)

    def usual_first_s(self, route: str) -> list[float]:
        """Return recent times to the first byte of the version in force in seconds."""
        return list(self._first_s.get(route, ()))

    def usual_total_s(self, route: str) -> list[float]:
        """Return recent durations of responses of the version in force in seconds."""
        return list(self._total_s.get(route, ()))

    def merge(
        self, router: str, run_id: int, items: Iterable[tuple[str, int, int, int, int]]
    ) -> None:
        """Replace the counts of another router's process."""
        key = (router, run_id)
        if key not in self._others and len(self._others) >= MAX_REPORTERS:
            return
        merged = self._others.setdefault(key, {})
        for route, *counts in items:
            if route in merged or len(merged) < MAX_ROUTES:
                # Datagrams may arrive in another order; counts only rise.
                before = merged.get(route, NO_COUNTS)
                new, new_bad, old, old_bad = map(max, before, counts)
                merged[route] = (new, new_bad, old, old_bad)

    def merged(self) -> dict[str, Counts]:
        """Return the counts of all known routers by route."""
        total = dict(self.own)
        for routes in self._others.values():
            for route, counts in routes.items():
                total[route] = _add(total.get(route, NO_COUNTS), counts)
        return total

    def _is_of_order(self, record: RolloutRecord) -> bool:
        return record.order_id == self.order.order_id


def _add(left: Counts, right: Counts) -> Counts:
    return (left[0] + right[0], left[1] + right[1], left[2] + right[2], left[3] + right[3])
