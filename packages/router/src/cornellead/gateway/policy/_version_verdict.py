"""Decision whether a new version is worse than the one in force."""

from __future__ import annotations

import math
from collections import deque
from typing import TYPE_CHECKING
from typing import NamedTuple

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Mapping
    from collections.abc import Sequence

MIN_USUAL_BAD = 0.02
"""Share of bad responses that is assumed for the version in force at least: a few failures among
few responses are no sign of a bad version."""
MIN_EXCESS = 0.02
"""Minimum difference between the shares of bad responses of both versions."""
MIN_EXCESS_FACTOR = 2.0
"""Minimum ratio between these shares."""
MIN_EVIDENCE = math.log(1e6)
"""Logarithm of the odds against a good version that happens to have as many bad responses. Each
router judges a version several times a second, by route and period."""
PERIODS_S = (5.0, 15.0, 30.0)
"""Latest periods in seconds that are judged beside the whole rollout: the good responses before a
version turned bad would otherwise hide the bad ones after it."""
SNAPSHOT_INTERVAL_S = 1.0
SLOW_FACTOR = 3.0
"""Multiple of the usual duration from which a response counts as slow: machines of one fleet differ
by factors of up to 2.5."""
SLOW_TAIL_FACTOR = 1.5
"""The same for the duration that a tenth of the responses exceed: durations that vary as much
without a rollout are no sign of a bad version."""
MIN_SAMPLES = 8
"""Responses of the version in force without which the usual duration is unknown."""
ALL_ROUTES = ""


class VersionCounts(NamedTuple):
    """Responses of both versions on one route."""

    new: int = 0
    new_bad: int = 0
    old: int = 0
    old_bad: int = 0

    def plus(self, other: VersionCounts) -> VersionCounts:
        """Return the sum of two counts."""
        return VersionCounts(*(a + b for a, b in zip(self, other, strict=True)))

    def minus(self, other: VersionCounts) -> VersionCounts:
        """Return the difference of two counts."""
        return VersionCounts(*(a - b for a, b in zip(self, other, strict=True)))


def is_worse(counts: VersionCounts) -> bool:
    """Return whether the new version has significantly more bad responses.

    The probability of so many bad responses of a version as good as the other one is bounded by
    Chernoff's inequality.

    >>> is_worse(VersionCounts(new=4, new_bad=4, old=100, old_bad=0))
    True
    >>> is_worse(VersionCounts(new=100, new_bad=4, old=1000, old_bad=20))
    False
    """
    if counts.new <= 0 or counts.new_bad <= 0:
        return False
    usual = max(MIN_USUAL_BAD, (counts.old_bad + 1) / (counts.old + 2) if counts.old > 0 else 0.0)
    share = min(1.0, counts.new_bad / counts.new)
    if usual >= 1.0 or share < max(usual + MIN_EXCESS, MIN_EXCESS_FACTOR * usual):
        return False
    divergence = share * math.log(share / usual)
    if share < 1.0:
        divergence += (1.0 - share) * math.log((1.0 - share) / (1.0 - usual))
    return counts.new * divergence >= MIN_EVIDENCE


def slow_limit_s(usual_s: Sequence[float]) -> float | None:
    """Return the duration above which a response is slow.

    :param usual_s: Durations of recent responses of the version in force in seconds.
    :returns: ``None`` if there are too few.
    """
    if len(usual_s) < MIN_SAMPLES:
        return None
    ordered = sorted(usual_s)
    median_s, tail_s = ordered[len(ordered) // 2], ordered[len(ordered) * 9 // 10]
    return max(SLOW_FACTOR * median_s, SLOW_TAIL_FACTOR * tail_s)


class VersionJudge:
    """Compares the counts of both versions over the whole rollout and over the latest periods."""

    def __init__(self) -> None:
        self._snapshots: deque[tuple[float, Mapping[str, VersionCounts]]] = deque()

    def find_fault(self, routes: Mapping[str, VersionCounts], *, now: float) -> str:
        """Return why the new version is bad; empty if it is not.

        :param routes: Counts since the order by route.
        :param now: Seconds.
        """
        totals = dict(routes)
        totals[ALL_ROUTES] = _sum(routes.values())
        if not self._snapshots or now - self._snapshots[-1][0] >= SNAPSHOT_INTERVAL_S:
            self._snapshots.append((now, totals))
        while self._snapshots and now - self._snapshots[0][0] > PERIODS_S[-1] + SNAPSHOT_INTERVAL_S:
            self._snapshots.popleft()
        bases: list[Mapping[str, VersionCounts]] = [{}]
        bases += [self._before(now - period_s) for period_s in PERIODS_S]
        for base in bases:
            for route, counts in totals.items():
                recent = counts.minus(base.get(route, VersionCounts()))
                if is_worse(recent):
                    name = route or "all routes"
                    return (
                        f"{name}: {recent.new_bad} of {recent.new} bad,"
                        f" {recent.old_bad} of {recent.old} before"
                    )
        return ""

    def _before(self, at: float) -> Mapping[str, VersionCounts]:
        """Return the latest counts of a time; empty if all are later."""
        found: Mapping[str, VersionCounts] = {}
        for taken_at, counts in self._snapshots:
            if taken_at > at:
                break
            found = counts
        return found


def _sum(all_counts: Iterable[VersionCounts]) -> VersionCounts:
    total = VersionCounts()
    for counts in all_counts:
        total = total.plus(counts)
    return total
