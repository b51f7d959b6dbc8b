"""Baseline placement policies: callers choose the engine themselves and bypass the routers."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING
from typing import Protocol

from cornellead_core.load import DEFAULT_BOUND
from cornellead_core.placement import rank_members
from scripts.traffic import Caller

if TYPE_CHECKING:
    import random
    from collections.abc import Mapping

    import httpx

    from scripts.traffic import Conversation
    from scripts.traffic import Tally


class Policy(Protocol):
    """Chooses the engine for a turn of a chat from the exact loads of all engines."""

    name: str

    def choose(self, chat: str, loads: Mapping[str, int]) -> str:
        """Return the name of an engine.

        :param loads: Requests in progress by engine.
        """
        ...


class RandomPolicy:
    """Chooses any engine with equal probability."""

    name = "random"

    def __init__(self, *, rng: random.Random) -> None:
        self._rng = rng

    def choose(self, chat: str, loads: Mapping[str, int]) -> str:
        """Return a random engine."""
        return self._rng.choice(sorted(loads))


class LeastLoadedPolicy:
    """Chooses the engine with the fewest requests in progress."""

    name = "least_loaded"

    def __init__(self, *, rng: random.Random) -> None:
        self._rng = rng

    def choose(self, chat: str, loads: Mapping[str, int]) -> str:
        """Return the least loaded engine; ties are broken at random."""
        least = min(loads.values())
        return self._rng.choice(sorted(name for name, load in loads.items() if load == least))


class RendezvousPolicy:
    """Chooses by rendezvous hashing of the chat, without a bound on the load."""

    name = "rendezvous_unbounded"

    def choose(self, chat: str, loads: Mapping[str, int]) -> str:
        """Return the engine that ranks first for the chat."""
        return rank_members(chat, loads)[0]


class CompleteViewPolicy:
    """Chooses the engine of the previous turn if the load bound allows it, else the least loaded.

    The reuse of the fleet is compared with the reuse of this policy.
    """

    name = "complete_view"

    def __init__(self) -> None:
        self._last: dict[str, str] = {}

    def choose(self, chat: str, loads: Mapping[str, int]) -> str:
        """Return the engine of the chat's previous turn, or the least loaded engine."""
        mean = (sum(loads.values()) + 1) / len(loads)
        limit = max(1, math.ceil(DEFAULT_BOUND * mean - 1e-9))
        last = self._last.get(chat)
        if last is None or loads[last] + 1 > limit:
            last = min(sorted(loads), key=lambda name: loads[name])
        self._last[chat] = last
        return last


class PolicyCaller:
    """Sends chats directly to the engines that a policy chooses.

    :param engines: Base URLs by engine.
    """

    def __init__(
        self,
        *,
        policy: Policy,
        engines: Mapping[str, str],
        client: httpx.AsyncClient,
        tally: Tally,
        rng: random.Random,
    ) -> None:
        self._policy = policy
        self._engines = engines
        self._client = client
        self._tally = tally
        self._rng = rng
        self._loads = dict.fromkeys(engines, 0)

    async def chat(self, conversation: Conversation, *, stream: bool) -> bool:
        """Send the next turn of a conversation; returns whether it completed."""
        engine = self._policy.choose(conversation.name, self._loads)
        caller = Caller(
            client=self._client,
            routers=[self._engines[engine]],
            tally=self._tally,
            rng=self._rng,
        )
        self._loads[engine] += 1
        try:
            return await caller.chat(conversation, stream=stream)
        finally:
            self._loads[engine] -= 1
