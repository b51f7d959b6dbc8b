"""Pauses that servers ask for, and the return of requests after them."""

from __future__ import annotations

RAMP_S = 1.0
"""Time after a pause in which a growing fraction of the requests returns, if other servers can take
the rest: the routers that the server turned away at the same moment would return together."""
MAX_PAUSE_S = 300.0
"""Maximum pause. A server that needs longer leaves the registry, and a wrong value must not take a
server away for good."""


def return_at(*, paused_until: float, jitter: float) -> float:
    """Return when a request may go to a server that asked for a pause.

    :param paused_until: End of the pause in seconds; 0 if there was none.
    :param jitter: Number of the request from 0 to 1.

    >>> return_at(paused_until=9.0, jitter=0.5), return_at(paused_until=0.0, jitter=0.5)
    (9.5, 0.0)
    """
    return paused_until + jitter * RAMP_S if paused_until > 0 else 0.0
