"""Choice of a server for one request."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from cornellead_core.placement import Weighted
from cornellead_core.placement import order_by_rendezvous

if TYPE_CHECKING:
    from collections.abc import Collection
    from collections.abc import Sequence

    from cornellead.gateway.beliefs import ServerState

HOME_BOUND = 1.5
"""Load of a server as a multiple of the mean above which chats of its own go to the next one."""
HOME_SLACK = 2.0
"""Requests above the multiple of the mean that are allowed, so that small counts do not move
chats from the servers that have their prompts."""
MIN_RELATIVE_SUCCESS = 0.7
"""A server whose success rate is below this share of the best one's is asked last."""
REMOTE_FACTOR = 1.5
"""Cost of a server in another data centre as a multiple of one nearby: bytes between data centres
are paid for and take longer."""
MIN_LATENCY_S = 0.005
"""Latency assumed of a server that has not answered yet."""


def order_for_chat(key: str, servers: Sequence[ServerState], *, now: float) -> list[ServerState]:
    """Order model servers for a request that shares its prompt with others.

    Load: returning chats whose prompts are cached where the chat was before. All routers compute
    the same order for a key, so they need no messages to agree on the home of a chat. A server
    above the bound on load comes after those below it, so a popular chat spills over.

    :param key: Identity of the shared part of the prompt.
    :param now: Seconds.
    """
    by_name = {state.entry.server: state for state in servers}
    order = order_by_rendezvous(
        key.encode(), [Weighted(name, max(1.0, by_name[name].entry.slots)) for name in by_name]
    )
    ranked = [by_name[name] for name in order]
    mean = sum(state.health.in_flight for state in ranked) / max(1, len(ranked))
    limit = HOME_BOUND * mean + HOME_SLACK
    avoided = _unsound(ranked, now=now)
    return sorted(
        ranked,
        key=lambda state: (
            state.entry.server in avoided,
            state.health.in_flight > limit,
            state.health.in_flight if state.health.in_flight > limit else 0,
        ),
    )


def order_by_cost(
    servers: Sequence[ServerState], *, data_centre: str, now: float
) -> list[ServerState]:
    """Order servers of a plain service by the expected cost of a request.

    Load: short calls to a few servers, of which some are slow or fail a part of what they get. The
    cost is the expected time until a success: latency times queue length over success rate.

    :param data_centre: Data centre of this router.
    """
    avoided = _unsound(servers, now=now)

    def cost(state: ServerState) -> tuple[bool, float]:
        health = state.health
        latency_s = max(MIN_LATENCY_S, health.latency_s)
        queue = 1.0 + state.load(now=now) / max(1, state.entry.slots)
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


def retry_after_s(*, wait_s: float, time_left_s: float, spread: float) -> float:
    """Return after which time a refused caller should come back.

    Load: many callers refused at the same moment. They come back spread over as much time again as
    they have to wait, and early enough to be served before their deadline.

    :param wait_s: Time until capacity is expected.
    :param time_left_s: Time until the caller's deadline.
    :param spread: Number from 0 to 1 that differs between requests.
    """
    wanted = wait_s * (1.0 + spread)
    return max(0.05, min(wanted, time_left_s / 3.0)) if math.isfinite(wanted) else time_left_s / 3.0
