"""Choice of the server from which another one copies the cached part of a prompt."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cornellead.gateway.policy._server_order import rank_homes

if TYPE_CHECKING:
    from collections.abc import Sequence

    from cornellead.gateway.view import ServerState

HOME_MIN_AGE_S = 10.0
"""Time after its first entry during which a server is not yet considered the home server of
returning chats."""


def find_prompt_source(
    key: str,
    target: ServerState,
    listed: Sequence[ServerState],
    holders: Sequence[str],
    *,
    now: float,
) -> ServerState | None:
    """Return the server that probably has the prompt cached if the target does not.

    A chat moves to another server when its own is full, draining or replaced. Processing its prompt
    again would delay every request at the target; copying the cache takes a fraction of that time.
    Servers that processed the prompt for this router come first; without one, the home server,
    which is the same for all routers, is used.

    :param key: Affinity key: identifies the shared prompt prefix.
    :param target: Server that receives the request.
    :param listed: Servers of the service, draining ones included.
    :param holders: Servers that processed the prefix for this router, the most recent first.
    :param now: Seconds.
    :returns: ``None`` if the target probably has the prompt cached, or no responsive server has it.
    """
    if target.entry.server in holders:
        return None
    by_name = {state.entry.server: state for state in listed}
    for name in holders:
        state = by_name.get(name)
        if state is not None and state.health.responsive(now=now):
            return state
    established = [state for state in listed if now - state.listed_at > HOME_MIN_AGE_S]
    for state in rank_homes(key, established):
        if state is target:
            return None
        if state.health.responsive(now=now):
            return state
    return None
