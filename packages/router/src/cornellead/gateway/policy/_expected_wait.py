"""How long a request would wait for a place at a server."""

from __future__ import annotations


def expected_wait_s(*, ahead: float, slots: int, hold_s: float) -> float:
    """Return the time until a place is free for a request.

    Load: many times the requests that the servers can run at once. Requests that wait until their
    deadline cost their callers all of it; one that is refused at once can come back when the surge
    is over.

    :param ahead: Requests at the server that run or will run before it.
    :param slots: Requests that the server runs at once; 0 if unknown.
    :param hold_s: Mean time for which a request keeps its place; 0 if unknown.

    >>> expected_wait_s(ahead=63, slots=64, hold_s=2.0)
    0.0
    >>> expected_wait_s(ahead=191, slots=64, hold_s=2.0)
    4.0
    """
    if slots <= 0:
        return 0.0
    return max(0.0, ahead - slots + 1) * hold_s / slots
