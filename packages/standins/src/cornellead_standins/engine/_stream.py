"""Events of one request, kept so that a broken stream can resume."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import msgspec

from cornellead_standins.engine._text import answer_text

if TYPE_CHECKING:
    from cornellead_standins.engine._sequence import Sequence


class Usage(msgspec.Struct):
    """Token counts of a request."""

    prompt_tokens: int
    completion_tokens: int
    total_tokens: int
    prompt_tokens_details: dict[str, int]


class Stream:
    """Events that a request produced so far; number ``n`` carries token ``n``.

    The last event, after all tokens, carries the finish reason and the usage.
    """

    def __init__(self, *, seq: Sequence) -> None:
        self.seq = seq
        self.events: dict[int, bytes] = {}
        self.last = 0
        """Number of the last event, or 0 while the request runs."""
        self.broken = False
        self.readers = 0
        self.orphaned_at = 0.0
        self._changed = asyncio.Event()

    def add_token(self) -> None:
        """Record the token that the sequence just generated."""
        number = self.seq.generated
        delta = {"content": f"{' ' if number > 1 else ''}{self.seq.word(number)}"}
        if number == 1:
            delta["role"] = "assistant"
        self._add(number, {"index": 0, "delta": delta, "finish_reason": None}, None)

    def finish(self) -> None:
        """Record the end of the answer."""
        number = self.seq.length + 1
        self._add(number, {"index": 0, "delta": {}, "finish_reason": "length"}, self.usage())
        self.last = number
        self._notify()

    def fail(self) -> None:
        """Mark that no further event follows."""
        self.broken = True
        self._notify()

    def usage(self) -> Usage:
        """Return the token counts."""
        prompt, length = len(self.seq.prompt), self.seq.length
        return Usage(prompt, length, prompt + length, {"cached_tokens": self.seq.cached_tokens})

    def text(self) -> str:
        """Return the whole answer."""
        return answer_text(self.seq.model, self.seq.prompt, self.seq.length)

    async def next_event(self, number: int) -> bytes | None:
        """Wait for an event; ``None`` when it will never exist."""
        while number not in self.events:
            if self.broken or (self.last and number > self.last):
                return None
            await self._changed.wait()
        return self.events[number]

    async def wait_finished(self) -> bool:
        """Wait for the end; returns whether the answer is complete."""
        while not self.last and not self.broken:
            await self._changed.wait()
        return not self.broken

    def _add(self, number: int, choice: dict[str, object], usage: Usage | None) -> None:
        chunk: dict[str, object] = {
            "id": self.seq.request_id,
            "object": "chat.completion.chunk",
            "model": self.seq.model,
            "choices": [choice],
        }
        if usage is not None:
            chunk["usage"] = usage
        self.events[number] = b"id: %d\ndata: %s\n\n" % (number, msgspec.json.encode(chunk))
        self._notify()

    def _notify(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()
