"""Expected waiting time for a free slot at a server."""

from __future__ import annotations


def expected_wait_s(*, ahead: float, slots: int, slot_duration_s: float) -> float:
    """Return the expected seconds until the server has a free slot for the request.

    In an overload, callers send many times the requests that the servers can run concurrently. A
    request that queues until its deadline costs its caller the whole deadline, while one that is
    rejected immediately can be retried after the overload.

    :param ahead: Requests at the server that run before this one, those already running included.
    :param slots: Maximum number of concurrent requests at the server; 0 if unknown.
    :param slot_duration_s: Mean time for which a request occupies a slot; 0 if unknown.

    >>> expected_wait_s(ahead=63, slots=64, slot_duration_s=2.0)
    0.0
    >>> expected_wait_s(ahead=191, slots=64, slot_duration_s=2.0)
    4.0
    """
    if slots <= 0:
        return 0.0
    return max(0.0, ahead - slots + 1) * slot_duration_s / slots
