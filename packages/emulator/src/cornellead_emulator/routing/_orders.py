"""Placement orders of servers that experiments compare with the gateway's own."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

from cornellead.gateway.policy import order_for_chat
from cornellead.gateway.policy import rank_homes

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Mapping

    from cornellead.gateway.policy import ChatOrder
    from cornellead.gateway.policy import PlacementContext
    from cornellead.gateway.view import ServerState


class RandomOrder:
    """Random order, independent of the chat and the load."""

    def __init__(self, *, rng: random.Random) -> None:
        self._rng = rng

    def __call__(self, placement: PlacementContext) -> list[ServerState]:
        """Return the servers in random order."""
        return self._rng.sample(list(placement.servers), len(placement.servers))


class LeastLoadedOrder:
    """Order by the load that the router estimates, independent of the chat."""

    def __init__(self, *, rng: random.Random) -> None:
        self._shuffle = RandomOrder(rng=rng)

    def __call__(self, placement: PlacementContext) -> list[ServerState]:
        """Return the servers by ascending load; servers with equal load are in random order."""
        shuffled = self._shuffle(placement)
        return sorted(shuffled, key=lambda state: placement.loads[state.entry.server])


def order_by_hash(placement: PlacementContext) -> list[ServerState]:
    """Order by rendezvous hashing alone, without a bound on the load."""
    return rank_homes(placement.key, placement.servers)


ORDER_FACTORIES: Mapping[str, Callable[[int], ChatOrder]] = {
    "random": lambda seed: RandomOrder(rng=random.Random(seed)),
    "least_loaded": lambda seed: LeastLoadedOrder(rng=random.Random(seed)),
    "home": lambda seed: order_by_hash,
    "gateway": lambda seed: order_for_chat,
}
"""Policies by name; each value creates the placement order of one router from a seed."""
