"""Stream events of one request, kept so that a client can resume a broken stream."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import msgspec

from cornellead_standins.engine._text import answer_text

if TYPE_CHECKING:
    from cornellead_standins.engine._sequence import Sequence


class Usage(msgspec.Struct):
    """Token counts of a request, in the format of the OpenAI API."""

    prompt_tokens: int
    completion_tokens: int
    total_tokens: int
    prompt_tokens_details: dict[str, int]


class Stream:
    """Events that a request has produced, by number; event ``n`` carries token ``n``.

    The last event follows all tokens and carries the finish reason and the usage.
    """

    def __init__(self, *, seq: Sequence) -> None:
        self.seq = seq
        self.events: dict[int, bytes] = {}
        self.last_number = 0
        """Number of the last event, or 0 while the request is running."""
        self.failed = False
        self.reader_count = 0
        self.orphaned_at = 0.0
        self._changed = asyncio.Event()

    def append_token(self) -> None:
        """Add the event of the token that the sequence has just generated."""
        number = self.seq.generated
        delta = {"content": f"{' ' if number > 1 else ''}{self.seq.token_at(number)}"}
        if number == 1:
            delta["role"] = "assistant"
        self._add(number, {"index": 0, "delta": delta, "finish_reason": None}, None)

    def finish(self) -> None:
        """Add the last event."""
        number = self.seq.answer_length + 1
        self._add(number, {"index": 0, "delta": {}, "finish_reason": "length"}, self.usage())
        self.last_number = number
        self._notify()

    def fail(self) -> None:
        """End the stream without its remaining events; wakes up waiting readers."""
        self.failed = True
        self._notify()

    def usage(self) -> Usage:
        """Return the token counts of the whole request."""
        prompt, length = len(self.seq.prompt), self.seq.answer_length
        return Usage(prompt, length, prompt + length, {"cached_tokens": self.seq.cached_tokens})

    def full_text(self) -> str:
        """Return the text of the whole answer."""
        return answer_text(self.seq.model, self.seq.prompt, self.seq.answer_length)

    async def next_event(self, number: int) -> bytes | None:
        """Wait for an event; returns ``None`` when the stream ends before it."""
        while number not in self.events:
            if self.failed or (self.last_number and number > self.last_number):
                return None
            await self._changed.wait()
        return self.events[number]

    async def wait_finished(self) -> bool:
        """Wait for the end of the stream; returns whether the answer is complete."""
        while not self.last_number and not self.failed:
            await self._changed.wait()
        return not self.failed

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
