"""Delay after which a rejected caller should retry."""

from __future__ import annotations

import xxhash

MIN_RETRY_AFTER_S = 0.05
"""Minimum delay: opening a connection takes some milliseconds."""
MAX_TIME_LEFT_SHARE = 1 / 3
"""Maximum delay as a fraction of the time until the deadline; the rest is left for the response."""
MIN_EXPECTED_OUTAGE_S = 2.0
"""Minimum expected duration of a store outage: most last some seconds."""
JITTER_STEPS = 1000


def request_jitter(request_id: str) -> float:
    """Return a number from 0 to 1 that is fixed for a request and uniformly distributed over many.

    >>> 0.0 <= request_jitter("7f") < 1.0
    True
    """
    return (xxhash.xxh3_64_intdigest(request_id.encode()) % JITTER_STEPS) / JITTER_STEPS


def retry_after_s(*, wait_s: float, time_left_s: float | None, request_id: str) -> float:
    """Return the seconds after which a rejected caller should retry.

    Many callers may be rejected at the same moment. Their retries are spread over a period as long
    as the expected wait, and early enough to complete before their deadlines.

    :param wait_s: Time until capacity is expected.
    :param time_left_s: Time until the caller's deadline; ``None`` if it has none.
    :param request_id: Identifier of the request, from which its jitter is derived.

    >>> retry_after_s(wait_s=9.0, time_left_s=3.0, request_id="7f")
    1.0
    """
    delay_s = wait_s * (1.0 + request_jitter(request_id))
    if time_left_s is not None:
        delay_s = min(delay_s, time_left_s * MAX_TIME_LEFT_SHARE)
    return max(MIN_RETRY_AFTER_S, delay_s)


def expected_outage_s(outage_s: float) -> float:
    """Return the expected remaining duration of a store outage in seconds.

    When all routers start during a store outage, none can serve. Callers retry only a few times, so
    they should retry after the outage and be served late. An outage is expected to last as long
    again as it has lasted.

    :param outage_s: Duration of the outage so far.

    >>> expected_outage_s(0.1), expected_outage_s(6.0)
    (2.0, 6.0)
    """
    return max(MIN_EXPECTED_OUTAGE_S, outage_s)
