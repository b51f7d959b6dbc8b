"""Choice of a server for one request."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cornellead_core.placement import Weighted
from cornellead_core.placement import order_by_rendezvous

if TYPE_CHECKING:
    from collections.abc import Collection
    from collections.abc import Mapping
    from collections.abc import Sequence

    from cornellead.gateway.beliefs import ServerState
    from cornellead.gateway.policy._chat_order import ChatPlacement

HOME_BOUND_SHARE = 0.925
"""Part of the multiple of the mean load that the deployment allows. Above it, chats of a server
go to the next one; the rest is for loads of other routers that are a fraction of a second old."""
HOME_SLACK = 3.0
"""Requests above the multiple of the mean that are allowed, so that small counts do not move chats
from the servers that have their prompts."""
SOFT_SHARE = 0.2
"""Part of the limit over which chats begin to move: routers that see the same loads, a fraction of
a second old, must not all turn to the next server at the same moment."""
SAME_LOAD = 4.0
"""Difference in load of full servers below which the one with the prompt is preferred."""
MIN_RELATIVE_SUCCESS = 0.7
"""A server whose success rate is below this share of the best one's is asked last."""
REMOTE_FACTOR = 1.5
"""Cost of a server in another data centre as a multiple of one nearby: bytes between data centres
are paid for and take longer."""
MIN_LATENCY_S = 0.005
"""Latency assumed of a server that has not answered yet."""


def order_for_chat(placement: ChatPlacement) -> list[ServerState]:
    """Order model servers for a request that shares its prompt with others.

    Load: returning chats whose prompts are cached where the chat was before. All routers compute
    the same order for a key, so they need no messages to agree on the home of a chat. A server
    above the bound on load comes after those below it, so a popular chat spills over, a growing
    part of its requests first. The mean is taken over all servers of the service: those that take
    no requests now are part of it.
    """
    ranked = rank_homes(placement.key, placement.servers)
    loads = placement.loads
    mean = sum(loads.values()) / max(1, len(loads))
    limit = HOME_BOUND_SHARE * placement.load_factor * mean + HOME_SLACK
    limit *= 1.0 - SOFT_SHARE * placement.spread
    avoided = _unsound(ranked, now=placement.now)

    def rank(state: ServerState) -> tuple[bool, int]:
        load = loads[state.entry.server]
        fullness = 1 + int(load / SAME_LOAD) if load > limit else 0
        return state.entry.server in avoided, fullness

    return sorted(ranked, key=rank)


def rank_homes(key: str, servers: Sequence[ServerState]) -> list[ServerState]:
    """Order servers for a key alone, the same way on every router."""
    by_name = {state.entry.server: state for state in servers}
    weighted = [Weighted(name, max(1.0, s.entry.slots)) for name, s in by_name.items()]
    return [by_name[name] for name in order_by_rendezvous(key.encode(), weighted)]


def order_by_cost(
    servers: Sequence[ServerState], loads: Mapping[str, float], *, data_centre: str, now: float
) -> list[ServerState]:
    """Order servers of a plain service by the expected cost of a request.

    Load: short calls to a few servers, of which some are slow or fail a part of what they get. The
    cost is the expected time until a success: latency times queue length over success rate.

    :param loads: Estimated requests at each server of the service, by name.
    :param data_centre: Data centre of this router.
    """
    avoided = _unsound(servers, now=now)

    def cost(state: ServerState) -> tuple[bool, float]:
        health = state.health
        latency_s = max(MIN_LATENCY_S, health.latency_s)
        queue = 1.0 + loads[state.entry.server] / max(1, state.entry.slots)
        near = 1.0 if state.entry.data_centre == data_centre else REMOTE_FACTOR
        success = health.success_rate(now=now)
        return state.entry.server in avoided, latency_s * queue * near / success**2

    return sorted(servers, key=cost)


def exclude(servers: Sequence[ServerState], tried: Collection[str]) -> list[ServerState]:
    """Leave out servers that were tried, unless all were."""
    rest = [state for state in servers if state.entry.server not in tried]
    return rest or list(servers)


def _unsound(servers: Sequence[ServerState], *, now: float) -> set[str]:
    """Return the servers that fail much more often than the best one, or are silent.

    When all of them fail alike, none is avoided.
    """
    best = max((s.health.success_rate(now=now) for s in servers), default=1.0)
    unsound = {
        s.entry.server
        for s in servers
        if not s.health.responsive(now=now)
        or s.health.success_rate(now=now) < MIN_RELATIVE_SUCCESS * best
    }
    return set() if len(unsound) == len(servers) else unsound


def split_service(weights: Sequence[tuple[str, float]], key: str) -> str:
    """Choose a service by weight, the same one for the same key on every router.

    >>> split_service([("a", 1.0)], "x")
    'a'
    """
    if len(weights) == 1:
        return weights[0][0]
    candidates = [Weighted(name, weight) for name, weight in weights if weight > 0]
    return order_by_rendezvous(key.encode(), candidates)[0] if candidates else weights[0][0]
