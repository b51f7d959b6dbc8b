"""Weight of the requests at a server by the time that work takes there."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

    from cornellead.gateway.view import ServerState

IGNORED_EXCESS = 0.5
"""Excess over the usual time of the service that is ignored. A home that moves has its prompts
copied or prefilled again; with a third of the servers 1.3 times as slow, that cost more than the
slower work."""
FULL_EXCESS = 1.0
"""Excess from which it counts in full; between the two it grows gradually, so that a factor that
varies around a threshold does not move many chats back and forth."""


def work_weights(servers: Sequence[ServerState]) -> dict[str, float]:
    """Return the weight of requests at servers that are slower than usual, by name.

    The usual time of the service is the harmonic mean of the factors: the time that work takes if
    each server gets requests by its speed. So no server counts as slow if all are alike.

    :param servers: All servers of a service.
    :returns: Weights above 1; servers with weight 1 are omitted.
    """
    factors = [state.work.mean for state in servers]
    speed = sum(1.0 / factor for factor in factors)
    if not factors or max(factors) * speed <= (1.0 + IGNORED_EXCESS) * len(factors):
        return {}
    return {
        state.entry.server: weight
        for state, factor in zip(servers, factors, strict=True)
        if (weight := _weight(factor * speed / len(factors))) > 1.0
    }


def _weight(relative: float) -> float:
    """Return the weight of a server by its time relative to the service's.

    >>> [round(_weight(relative), 2) for relative in (0.5, 1.3, 1.5, 1.75, 2.0, 2.5)]
    [1.0, 1.0, 1.0, 1.5, 2.0, 2.5]
    """
    if relative <= 1.0 + IGNORED_EXCESS:
        return 1.0
    if relative >= 1.0 + FULL_EXCESS:
        return relative
    return 1.0 + FULL_EXCESS * (relative - 1.0 - IGNORED_EXCESS) / (FULL_EXCESS - IGNORED_EXCESS)
