"""Load of many concurrent chats with several turns each."""

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
    """Length and pace of the chats."""

    teams: tuple[str, ...]
    model: str
    turns: int = 6
    answer_length: tuple[int, int] = (20, 80)
    """Minimum and maximum tokens of an answer."""
    think_s: tuple[float, float] = (0.1, 0.8)
    """Minimum and maximum think time between an answer and the next question."""
    stream_fraction: float = 0.7
    """Fraction of turns that request a streamed response."""
    ramp_s: float = 6.0
    """Ramp-up: the callers start at random times within it."""


class ChatSender(Protocol):
    """Interface through which `ChatLoad` sends the turns of conversations."""

    async def chat(self, conversation: Conversation, *, stream: bool) -> bool:
        """Send the next turn of a conversation; returns whether it completed."""
        ...


class ChatLoad:
    """Simulates callers that each have one chat after the other.

    :param caller: Sends the turns of all chats.
    """

    def __init__(self, *, caller: ChatSender, shape: ChatShape, rng: random.Random) -> None:
        self._caller = caller
        self._shape = shape
        self._rng = rng

    async def run(self, *, chats: int, stop_at: float) -> None:
        """Generate load until ``stop_at`` and wait for the turns in progress.

        :param chats: Number of concurrent chats.
        :param stop_at: Monotonic time in seconds after which no turn starts.
        """
        async with asyncio.TaskGroup() as group:
            for caller_number in range(chats):
                group.create_task(self._run_caller(caller_number, stop_at))

    async def _run_caller(self, caller_number: int, stop_at: float) -> None:
        shape, chat_number = self._shape, 0
        conversation = self._new_conversation(caller_number, chat_number)
        await asyncio.sleep(self._rng.uniform(0, shape.ramp_s))
        while time.monotonic() < stop_at:
            stream = self._rng.random() < shape.stream_fraction
            if await self._caller.chat(conversation, stream=stream):
                conversation.add_question(f"and what about day {len(conversation.messages)}?")
            if len(conversation.messages) > 2 * shape.turns:
                chat_number += 1
                conversation = self._new_conversation(caller_number, chat_number)
            await asyncio.sleep(self._rng.uniform(*shape.think_s))

    def _new_conversation(self, caller_number: int, chat_number: int) -> Conversation:
        shape = self._shape
        team = shape.teams[caller_number % len(shape.teams)]
        return Conversation(
            name=f"chat-{caller_number}-{chat_number}",
            team=team,
            model=shape.model,
            opening=f"We are party {caller_number}-{chat_number} of {team} and ask for help. " * 20,
            answer_length=self._rng.randint(*shape.answer_length),
        )
