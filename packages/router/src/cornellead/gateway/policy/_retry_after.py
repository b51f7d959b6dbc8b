"""When a refused caller should come back."""

from __future__ import annotations

import xxhash

SHORTEST_S = 0.05
"""Shortest time that is asked for: a new connection takes some milliseconds."""
USABLE_SHARE = 1 / 3
"""Part of the time left that callers wait at most, so that an answer can still arrive."""
OUTAGE_S = 2.0
"""Time for which an outage of the store is expected to last at least: most last some seconds."""
SPREAD_STEPS = 1000


def spread_of(request_id: str) -> float:
    """Return a number from 0 to 1 that is fixed for a request and even over many.

    >>> 0.0 <= spread_of("7f") < 1.0
    True
    """
    return (xxhash.xxh3_64_intdigest(request_id.encode()) % SPREAD_STEPS) / SPREAD_STEPS


def retry_after_s(*, wait_s: float, time_left_s: float | None, request_id: str) -> float:
    """Return after which time a refused caller should come back.

    Load: many callers refused at the same moment. They come back spread over as much time again as
    they have to wait, and early enough to be served before their deadline.

    :param wait_s: Time until capacity is expected.
    :param time_left_s: Time until the caller's deadline; ``None`` without one.
    :param request_id: Identity of the request, from which its place in the spread follows.

    >>> retry_after_s(wait_s=9.0, time_left_s=3.0, request_id="7f")
    1.0
    """
    wanted_s = wait_s * (1.0 + spread_of(request_id))
    if time_left_s is not None:
        wanted_s = min(wanted_s, time_left_s * USABLE_SHARE)
    return max(SHORTEST_S, wanted_s)


def outage_wait_s(outage_s: float) -> float:
    """Return for how much longer an outage of the store is expected to last.

    Load: all routers started while the store is out, so that none can serve. Callers retry only a
    few times; one that comes back after the outage is served, late. What has lasted long is
    expected to last as long again.

    :param outage_s: Time for which it has lasted.

    >>> outage_wait_s(0.1), outage_wait_s(6.0)
    (2.0, 6.0)
    """
    return max(OUTAGE_S, outage_s)
