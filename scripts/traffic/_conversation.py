"""A chat of several turns, with its expected answers and its expected cache reuse."""

from __future__ import annotations

from typing import Any

from cornellead_standins.engine import answer_text
from cornellead_standins.engine import tokenize

BLOCK_TOKENS = 16


class Conversation:
    """Messages of one chat.

    :param opening: First message of the user.
    :param answer_length: Number of tokens of each answer.

    >>> opening = "two seats"
    >>> chat = Conversation(name="c", team="tours", model="chat", opening=opening, answer_length=3)
    >>> chat.add_answer(chat.expected_answer())
    >>> chat.add_question("and a window?")
    >>> [message["role"] for message in chat.messages], chat.reusable_tokens
    (['user', 'assistant', 'user'], 0)
    """

    def __init__(
        self, *, name: str, team: str, model: str, opening: str, answer_length: int
    ) -> None:
        self.name = name
        self.team = team
        self.model = model
        self.answer_length = answer_length
        self.messages: list[dict[str, Any]] = [{"role": "user", "content": opening}]
        self.reusable_tokens = 0
        """Leading tokens of the next prompt, in whole cache blocks, that the previous turn cached.

        This is the most that an engine can reuse.
        """

    def body(self, *, stream: bool) -> dict[str, Any]:
        """Return the body of the chat completion request for the next turn."""
        return {
            "model": self.model,
            "messages": self.messages,
            "max_tokens": self.answer_length,
            "stream": stream,
        }

    def expected_answer(self) -> str:
        """Return the answer that the stand-in engine generates for the next turn."""
        return answer_text(self.model, tokenize(self.messages), self.answer_length)

    def add_answer(self, text: str) -> None:
        """Append the answer of a turn and update the reusable tokens."""
        self.messages.append({"role": "assistant", "content": text})
        self.reusable_tokens = len(tokenize(self.messages)) // BLOCK_TOKENS * BLOCK_TOKENS

    def add_question(self, text: str) -> None:
        """Append the next message of the user."""
        self.messages.append({"role": "user", "content": text})
