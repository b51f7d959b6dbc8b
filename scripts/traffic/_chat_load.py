"""Chats that return, opened and continued by many callers."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING
from typing import NamedTuple
from typing import Protocol

from scripts.traffic._conversation import Conversation

if TYPE_CHECKING:
    import random


class ChatShape(NamedTuple):
    """Size and pace of the chats."""

    teams: tuple[str, ...]
    model: str
    turns: int = 6
    length: tuple[int, int] = (20, 80)
    """Least and most tokens of an answer."""
    think_s: tuple[float, float] = (0.1, 0.8)
    """Least and most time between an answer and the next question."""
    streamed: float = 0.7
    """Share of turns that are streamed."""
    ramp_s: float = 6.0
    """Time over which the callers begin."""


class ChatSender(Protocol):
    """Sends turns of conversations."""

    async def chat(self, conversation: Conversation, *, stream: bool) -> bool:
        """Send the next turn of a conversation; returns whether it completed."""
        ...


class ChatLoad:
    """Callers that each hold one chat after the other.

    :param caller: Sends the turns of all chats.
    """

    def __init__(self, *, caller: ChatSender, shape: ChatShape, rng: random.Random) -> None:
        self._caller = caller
        self._shape = shape
        self._rng = rng

    async def run(self, *, chats: int, stop_at: float) -> None:
        """Hold chats until a time.

        :param chats: Chats held at the same time.
        :param stop_at: Monotonic seconds; turns in progress are finished.
        """
        async with asyncio.TaskGroup() as group:
            for number in range(chats):
                group.create_task(self._hold_chats(number, stop_at))

    async def _hold_chats(self, number: int, stop_at: float) -> None:
        shape, opened = self._shape, 0
        conversation = self._open(number, opened)
        await asyncio.sleep(self._rng.uniform(0, shape.ramp_s))
        while time.monotonic() < stop_at:
            streamed = self._rng.random() < shape.streamed
            if await self._caller.chat(conversation, stream=streamed):
                conversation.add_question(f"and what about day {len(conversation.messages)}?")
            if len(conversation.messages) > 2 * shape.turns:
                opened += 1
                conversation = self._open(number, opened)
            await asyncio.sleep(self._rng.uniform(*shape.think_s))

    def _open(self, number: int, opened: int) -> Conversation:
        shape = self._shape
        team = shape.teams[number % len(shape.teams)]
        return Conversation(
            name=f"chat-{number}-{opened}",
            team=team,
            model=shape.model,
            opening=f"We are party {number}-{opened} of {team} and ask for help. " * 20,
            length=self._rng.randint(*shape.length),
        )
