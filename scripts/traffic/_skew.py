"""Load skew between engines, computed from the start and end times of all requests."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING
from typing import NamedTuple
from typing import TypeAlias

if TYPE_CHECKING:
    from collections.abc import Mapping

LoadChanges: TypeAlias = list[tuple[float, int]]
"""Monotonic time and change (+1 or -1) of each start and end of a request at one engine."""
TimeSpans: TypeAlias = list[tuple[float, float]]
"""Start and end of each period, in monotonic seconds."""


TRANSIT_S = 0.01
"""Maximum time that a request is in transit between agent and engine, in either direction.

Agents count a request as load from its admission until they finish it. In a trace of 2,161 requests
the engine started a request 1.0 ms (at most 6.6 ms) after the admission and ended it 1.4 ms (at
most 5.4 ms) before the agent finished it. The mean load in the histories of the engines alone is
therefore too low.
"""


class Skew(NamedTuple):
    """Load skew over all starts of requests; starts at unavailable engines are left out."""

    starts: int
    starts_above_bound: int
    """Starts that took the load of the engine above its limit."""
    max_load_ratio: float
    """Highest load at a start over the mean load.

    It is scaled like the limit, which is rounded up: an engine at its limit has a ratio equal to
    the bound.
    """
    mean_load_ratio: float
    """Load over the mean load, averaged over all starts; not scaled."""


def measure_skew(
    histories: Mapping[str, LoadChanges],
    *,
    bound: float,
    unavailable: Mapping[str, TimeSpans] | None = None,
    transit_s: float = TRANSIT_S,
) -> Skew:
    """Replay the load histories of engines of equal capacity and compare each load with the mean.

    At each start, the load includes the request itself, and the limit is
    ``max(1, ceil(bound * mean))``, where the mean includes requests in transit.

    :param histories: Load changes by engine.
    :param unavailable: Periods by engine in which it is not live; its load and its capacity are
        then left out of the mean.

    >>> even = {"a": [(1.0, 1), (3.0, 1)], "b": [(2.0, 1), (4.0, 1)]}
    >>> measure_skew(even, bound=1.25).starts_above_bound
    0
    >>> uneven = {"a": [(1.0, 1), (2.0, 1), (3.0, 1)], "b": [(9.0, 1)]}
    >>> skew = measure_skew(uneven, bound=1.25)
    >>> skew.starts_above_bound, skew.max_load_ratio
    (1, 1.875)
    """
    unavailable = unavailable or {}
    loads = dict.fromkeys(histories, 0)
    admitted = dict.fromkeys(histories, 0)
    starts, above_bound, max_ratio, ratio_sum = 0, 0, 0.0, 0.0
    for _, engine, change, at_s in _merge_events(histories, transit_s):
        if at_s is None:
            admitted[engine] += change
            continue
        loads[engine] += change
        if change < 0 or _is_within(at_s, unavailable.get(engine, [])):
            continue
        live = [name for name in loads if not _is_within(at_s, unavailable.get(name, []))]
        mean = sum(admitted[name] for name in live) / len(live)
        limit = max(1, math.ceil(bound * mean - 1e-9))
        starts += 1
        above_bound += loads[engine] > limit
        ratio_sum += loads[engine] * len(live) / sum(loads[name] for name in live)
        # With the plain ratio, a single request in the whole fleet would be several times the mean.
        max_ratio = max(max_ratio, bound * loads[engine] / limit)
    return Skew(starts, above_bound, max_ratio, ratio_sum / starts if starts else 0.0)


def _merge_events(
    histories: Mapping[str, LoadChanges], transit_s: float
) -> list[tuple[float, str, int, float | None]]:
    """Return the load changes of all engines and of their agents in order of time.

    Each item has the time to sort by, the engine, the change, and the time of a change at the
    engine itself or ``None`` for the change at its agent.
    """
    events: list[tuple[float, str, int, float | None]] = []
    for engine, changes in histories.items():
        for at_s, change in changes:
            events.append((at_s, engine, change, at_s))
            events.append((at_s - change * transit_s, engine, change, None))
    # At equal times, the change at the agent comes first.
    return sorted(events, key=lambda event: (event[0], event[3] is not None))


def _is_within(at_s: float, spans: TimeSpans) -> bool:
    return any(start <= at_s <= end for start, end in spans)
