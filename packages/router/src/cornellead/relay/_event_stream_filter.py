"""Validates the event stream of an agent and selects the bytes to forward to the caller."""

from __future__ import annotations

import re
from itertools import filterfalse

from cornellead_core.decoding import MAX_DIGITS
from cornellead_core.decoding import decode_count

EVENT_BOUNDARY = b"\n\n"
DONE_EVENT = b"data: [DONE]\n\n"
ID_PREFIX = b"id: "
_ID_LINE = re.compile(rb"^id: ([0-9]{1,%d})$" % MAX_DIGITS, re.MULTILINE)
_FIELD_LINE = re.compile(rb"\n[^:\n]")
_IRRELEVANT = re.compile(rb":(?!\s*(?:end|moved)(?:\s|\Z))")
"""Start of a comment that is not the agent's; thousands of them may arrive at once."""
MAX_EVENT_BYTES = 1 << 20
"""Maximum size of an event; a longer one is a fault. This limits the memory for each stream."""


class EventStreamFilter:
    """Splits a byte stream into server-sent events and checks that none is missing.

    Events are forwarded in the order of their numbers, each once. The final event ``[DONE]`` is
    held back until the agent confirms the number of events with an ``end`` comment for this
    request, so a truncated stream never looks complete to the caller.

    :param request_id: Request id that the comments of the agent must carry.

    >>> stream_filter = EventStreamFilter(request_id="ab")
    >>> stream_filter.feed(b"id: 1\\ndata: x\\n\\ndata: [DONE]\\n\\n")
    b'id: 1\\ndata: x\\n\\n'
    >>> stream_filter.feed(b": end ab 1\\n\\n"), stream_filter.ended
    (b'data: [DONE]\\n\\n', True)
    """

    def __init__(self, *, request_id: str) -> None:
        self._request_id = request_id.encode()
        self._buffer = bytearray()
        self._done_event = b""
        self._next_event_prefix = b"id: 1\n"
        self.delivered = 0
        """Number of the last event that was forwarded."""
        self.ended = False
        """Whether the stream is complete."""
        self.moved = False
        """Whether the agent asked the router to resume the stream on another server."""
        self.fault = ""
        """Why the stream is invalid, or empty."""

    def restart(self) -> None:
        """Discard incomplete data of the previous response before a resumed stream is read."""
        self._buffer = bytearray()
        self._done_event = b""
        self.moved = False
        self.fault = ""

    def feed(self, data: bytes) -> bytes:
        """Process received bytes and return the complete events to forward."""
        if (
            not self._buffer
            and data.startswith(self._next_event_prefix)
            and data.find(EVENT_BOUNDARY) == len(data) - 2
            and not data.endswith(DONE_EVENT)
            and not self.stopped
        ):
            # Fast path for a single complete event with the expected number, which is the usual
            # case while tokens arrive one by one.
            self._advance()
            return data
        return self._split_events(data)

    @property
    def buffered_bytes(self) -> int:
        """Size of the incomplete event that was received so far."""
        return len(self._buffer)

    @property
    def stopped(self) -> bool:
        """Whether the rest of this response is ignored."""
        return self.ended or self.moved or bool(self.fault)

    def _split_events(self, data: bytes) -> bytes:
        # The buffer has no boundary, but may end inside one.
        searched_bytes = max(0, len(self._buffer) - 1)
        self._buffer += data
        out: list[bytes] = []
        if self._buffer.find(EVENT_BOUNDARY, searched_bytes) >= 0:
            received = bytes(self._buffer)
            if _has_comments_only(received):
                self._buffer = bytearray(received[received.rfind(EVENT_BOUNDARY) + 2 :])
                return b""
            *events, rest = received.split(EVENT_BOUNDARY)
            self._buffer = bytearray(rest)
            for event in filterfalse(_IRRELEVANT.match, events):
                if self.stopped:
                    break
                self._handle_event(event + EVENT_BOUNDARY, out)
        if len(self._buffer) > MAX_EVENT_BYTES:
            self.fault = f"event {self.delivered + 1} is longer than {MAX_EVENT_BYTES} bytes"
        return b"".join(out)

    def _handle_event(self, event: bytes, out: list[bytes]) -> None:
        if event.startswith(b":"):
            self._handle_comment(event, out)
            return
        number = _event_number(event)
        if event.endswith(DONE_EVENT) and event[: -len(DONE_EVENT)] in (
            b"",
            ID_PREFIX + b"%d\n" % (number or 0),
        ):
            self._done_event = event
            return
        if number is None or number > self.delivered + 1 or self._done_event:
            self.fault = f"event {number} follows event {self.delivered}"
            return
        if number == self.delivered + 1:
            out.append(event)
            self._advance()

    def _handle_comment(self, comment: bytes, out: list[bytes]) -> None:
        words = comment[1:].split()
        events = decode_count(words[2]) if len(words) == 3 else None
        if events is None or words[1] != self._request_id:
            self.fault = "comment of another request"
            return
        if words[0] == b"moved":
            self.moved = True
            return
        # The agent's count may or may not include the final [DONE] event.
        if events not in (self.delivered, self.delivered + bool(self._done_event)):
            self.fault = f"{events} events were sent, {self.delivered} arrived"
            return
        self.ended = True
        out.append(self._done_event)

    def _advance(self) -> None:
        self.delivered += 1
        self._next_event_prefix = b"id: %d\n" % (self.delivered + 1)


def _has_comments_only(events: bytes) -> bool:
    """Return whether there are only comments that are not the agent's; false if it is unclear."""
    return (
        events.startswith(b":")
        and b"end" not in events
        and b"moved" not in events
        and b"\n\n\n" not in events
        and _FIELD_LINE.search(events) is None
    )


def _event_number(event: bytes) -> int | None:
    found = _ID_LINE.search(event)
    return None if found is None else decode_count(found[1])
