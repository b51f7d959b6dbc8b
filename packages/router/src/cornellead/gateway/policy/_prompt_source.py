"""Server from which another one fetches the cached part of a prompt."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cornellead.gateway.policy._choice import rank_homes

if TYPE_CHECKING:
    from collections.abc import Sequence

    from cornellead.gateway.beliefs import ServerState

JOINED_S = 10.0
"""Time after its first entry for which a server is not yet the home of returning chats."""


def find_prompt_source(
    key: str,
    target: ServerState,
    listed: Sequence[ServerState],
    holders: Sequence[str],
    *,
    now: float,
) -> ServerState | None:
    """Return the server that should have the prompt when the target lacks it.

    Load: chats that move because their server is full, leaves or was replaced. Reading their
    prompts again delays every request of the target; copying them takes a fraction of that.
    A holder that this router saw comes first; without one, it is the server that all routers
    regard as the home.

    :param key: Identity of the shared part of the prompt.
    :param listed: Servers of the service, draining ones included.
    :param holders: Servers that this router saw read the part, the last one first.
    :param now: Seconds.
    """
    if target.entry.server in holders:
        return None
    by_name = {state.entry.server: state for state in listed}
    for name in holders:
        state = by_name.get(name)
        if state is not None and state.health.responsive(now=now):
            return state
    settled = [state for state in listed if now - state.listed_at > JOINED_S]
    for state in rank_homes(key, settled):
        if state is target:
            return None
        if state.health.responsive(now=now):
            return state
    return None
