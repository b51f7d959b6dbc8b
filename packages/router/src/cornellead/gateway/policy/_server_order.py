"""Order in which the servers of a service are tried for a request."""

from __future__ import annotations

from types import MappingProxyType
from typing import TYPE_CHECKING

from cornellead_core.placement import WeightedNode
from cornellead_core.placement import order_by_rendezvous

if TYPE_CHECKING:
    from collections.abc import Collection
    from collections.abc import Mapping
    from collections.abc import Sequence

    from cornellead.gateway.policy._chat_order import PlacementContext
    from cornellead.gateway.view import ServerState

LOAD_BOUND_SHARE = 0.925
"""Fraction of the deployment's load factor at which chats spill over to the next server. The
remainder allows for requests that other routers sent since their last load report, a fraction of a
second ago."""
LOAD_SLACK_REQUESTS = 3.0
"""Requests allowed above the bound, so that at low load a few requests don't move chats away from
the servers that have their prompts cached."""
SPILL_RANGE_SHARE = 0.2
"""Width of the range below the limit over which requests spill over gradually, as a fraction of the
limit. Routers see the same loads, a fraction of a second old, and without it would all switch to
the next server at the same moment."""
LOAD_LEVEL_REQUESTS = 4.0
"""Width in requests of a load level: servers above the limit and in the same level count as equally
loaded, so that the one with the prompt cached is preferred."""
MIN_RELATIVE_SUCCESS_RATE = 0.7
"""Minimum success rate as a fraction of the best server's; a server below it is tried last."""
REMOTE_COST_FACTOR = 1.5
"""Cost multiplier of a server in another data centre: traffic between data centres is billed and
has a higher latency."""
MIN_LATENCY_S = 0.005
"""Lower bound on the latency, also used for a server that has not responded yet."""


def order_for_chat(placement: PlacementContext) -> list[ServerState]:
    """Order model servers for a request whose prompt prefix is shared with other requests.

    A returning chat is sent to its home server, where its prompt is cached. All routers compute the
    same order for a key, so they agree on the home without exchanging messages. A server above the
    load bound comes after those below it, so a popular chat spills over to other servers; the
    jitter of each request makes a growing fraction of its requests spill over as the load
    approaches the bound. The mean load includes all servers of the service, even those that are not
    candidates now. A server on which work takes longer is the home of fewer chats, so that its work
    takes as long as that of others; the bound applies to the number of requests. Servers that the
    prompt should avoid come after those that are alike otherwise.
    """
    ranked = rank_homes(placement.key, placement.servers, placement.weights)
    loads = placement.loads
    mean = sum(loads.values()) / max(1, len(loads))
    limit = LOAD_BOUND_SHARE * placement.load_factor * mean + LOAD_SLACK_REQUESTS
    limit *= 1.0 - SPILL_RANGE_SHARE * placement.jitter
    unhealthy = _unhealthy(ranked, now=placement.now)

    def rank(state: ServerState) -> tuple[bool, bool, bool, int]:
        name = state.entry.server
        load = loads[name]
        load_level = 1 + int(load / LOAD_LEVEL_REQUESTS) if load > limit else 0
        return name in unhealthy, load > limit, name in placement.avoided, load_level

    return sorted(ranked, key=rank)


def rank_homes(
    key: str, servers: Sequence[ServerState], weights: Mapping[str, float] = MappingProxyType({})
) -> list[ServerState]:
    """Order servers by rendezvous hashing of the key, identically on every router.

    A small change of a weight changes the order for a small fraction of the keys.

    :param weights: Weight of the requests at servers on which work takes longer, by name.
    """
    by_name = {state.entry.server: state for state in servers}
    weighted = [
        WeightedNode(name, max(1.0, s.entry.slots) / weights.get(name, 1.0))
        for name, s in by_name.items()
    ]
    return [by_name[name] for name in order_by_rendezvous(key.encode(), weighted)]


def order_by_cost(
    servers: Sequence[ServerState], loads: Mapping[str, float], *, data_centre: str, now: float
) -> list[ServerState]:
    """Order servers by the expected cost of a request that has no affinity key.

    This suits short calls to a few servers, some of which may be slow or fail some requests. The
    cost grows with latency and queue length and falls with the square of the success rate, so it
    reflects the expected time until a success. The latency is the measured one, scaled by the
    change of the server's work factor since.

    :param loads: Estimated in-flight requests at each server of the service, by name.
    :param data_centre: Data centre of this router.
    """
    unhealthy = _unhealthy(servers, now=now)

    def cost(state: ServerState) -> tuple[bool, float]:
        health = state.health
        latency_s = max(MIN_LATENCY_S, health.latency_s) * state.work.drift(now=now)
        queue = 1.0 + loads[state.entry.server] / max(1, state.entry.slots)
        distance_factor = 1.0 if state.entry.data_centre == data_centre else REMOTE_COST_FACTOR
        success_rate = health.success_rate(now=now)
        return (
            state.entry.server in unhealthy,
            latency_s * queue * distance_factor / success_rate**2,
        )

    return sorted(servers, key=cost)


def exclude(servers: Sequence[ServerState], tried: Collection[str]) -> list[ServerState]:
    """Return the servers that were not tried yet, or all of them if every one was tried."""
    untried = [state for state in servers if state.entry.server not in tried]
    return untried or list(servers)


def _unhealthy(servers: Sequence[ServerState], *, now: float) -> set[str]:
    """Return the servers that fail much more often than the best one, or are unresponsive.

    The result is empty if all servers qualify, so that a service-wide failure excludes none.
    """
    best = max((s.health.success_rate(now=now) for s in servers), default=1.0)
    unhealthy = {
        s.entry.server
        for s in servers
        if not s.health.responsive(now=now)
        or s.health.success_rate(now=now) < MIN_RELATIVE_SUCCESS_RATE * best
    }
    return set() if len(unhealthy) == len(servers) else unhealthy


def split_service(weights: Sequence[tuple[str, float]], key: str) -> str:
    """Choose a service by weight; the choice for a key is the same on every router.

    >>> split_service([("a", 1.0)], "x")
    'a'
    """
    if len(weights) == 1:
        return weights[0][0]
    candidates = [WeightedNode(name, weight) for name, weight in weights if weight > 0]
    return order_by_rendezvous(key.encode(), candidates)[0] if candidates else weights[0][0]
