"""Placement policies to compare the fleet with: callers that choose an engine themselves."""

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
    """Chooses the engine of the next turn of a chat with a complete view of the load."""

    name: str

    def choose(self, chat: str, loads: Mapping[str, int]) -> str:
        """Return an engine.

        :param loads: Requests in progress of every engine.
        """
        ...


class RandomPolicy:
    """Any engine."""

    name = "random"

    def __init__(self, *, rng: random.Random) -> None:
        self._rng = rng

    def choose(self, chat: str, loads: Mapping[str, int]) -> str:
        """Return a random engine."""
        return self._rng.choice(sorted(loads))


class LeastLoadedPolicy:
    """The engine with the fewest requests in progress."""

    name = "least_loaded"

    def __init__(self, *, rng: random.Random) -> None:
        self._rng = rng

    def choose(self, chat: str, loads: Mapping[str, int]) -> str:
        """Return the least loaded engine, a random one of equals."""
        least = min(loads.values())
        return self._rng.choice(sorted(name for name, load in loads.items() if load == least))


class RendezvousPolicy:
    """The first engine in the chat's order, without a bound on the load."""

    name = "rendezvous_unbounded"

    def choose(self, chat: str, loads: Mapping[str, int]) -> str:
        """Return the first engine in the order."""
        return rank_members(chat, loads)[0]


class CompleteViewPolicy:
    """The engine that has the chat's cache if the load bound allows it, else the least loaded."""

    name = "complete_view"

    def __init__(self) -> None:
        self._last: dict[str, str] = {}

    def choose(self, chat: str, loads: Mapping[str, int]) -> str:
        """Return the best engine under the bound."""
        mean = (sum(loads.values()) + 1) / len(loads)
        limit = max(1, math.ceil(DEFAULT_BOUND * mean - 1e-9))
        last = self._last.get(chat)
        if last is None or loads[last] + 1 > limit:
            last = min(sorted(loads), key=lambda name: loads[name])
        self._last[chat] = last
        return last


class PolicyCaller:
    """Sends chats directly to engines chosen by a policy."""

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
