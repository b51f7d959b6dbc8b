"""Orders of servers to compare the gateway's with."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

from cornellead.gateway.policy import order_for_chat
from cornellead.gateway.policy import rank_homes

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Mapping
    from collections.abc import Sequence

    from cornellead.gateway.beliefs import ServerState
    from cornellead.gateway.policy import ChatOrder


class RandomOrder:
    """Any order, whatever the chat and the loads."""

    def __init__(self, *, rng: random.Random) -> None:
        self._rng = rng

    def __call__(
        self,
        key: str,
        servers: Sequence[ServerState],
        loads: Mapping[str, float],
        *,
        load_factor: float,
        spread: float,
        now: float,
    ) -> list[ServerState]:
        """Return the servers in random order."""
        return self._rng.sample(list(servers), len(servers))


class LeastLoadedOrder:
    """By the believed load, whatever the chat."""

    def __init__(self, *, rng: random.Random) -> None:
        self._rng = rng

    def __call__(
        self,
        key: str,
        servers: Sequence[ServerState],
        loads: Mapping[str, float],
        *,
        load_factor: float,
        spread: float,
        now: float,
    ) -> list[ServerState]:
        """Return the servers by load, equal ones in random order."""
        shuffled = self._rng.sample(list(servers), len(servers))
        return sorted(shuffled, key=lambda state: loads[state.entry.server])


def order_by_home(
    key: str,
    servers: Sequence[ServerState],
    loads: Mapping[str, float],
    *,
    load_factor: float,
    spread: float,
    now: float,
) -> list[ServerState]:
    """Order by rendezvous alone, without a bound on the load."""
    return rank_homes(key, servers)


ORDERS: Mapping[str, Callable[[int], ChatOrder]] = {
    "random": lambda seed: RandomOrder(rng=random.Random(seed)),
    "least_loaded": lambda seed: LeastLoadedOrder(rng=random.Random(seed)),
    "home": lambda seed: order_by_home,
    "gateway": lambda seed: order_for_chat,
}
"""Policies by name: each makes the order of one router from a seed."""
