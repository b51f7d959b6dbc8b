"""Reorders and deduplicates the server-sent events of one engine stream."""

from __future__ import annotations

import re

from cornellead_core.decoding import decode_count

SEPARATOR = b"\n\n"
DONE_LINE = b"data: [DONE]"
USAGE_KEY = b'"usage"'
NULL_USAGE = (b'"usage":null', b'"usage": null')
ID_PREFIX = b"id: "
_RELEVANT = re.compile(ID_PREFIX + b"|" + re.escape(DONE_LINE))
"""Start of the events that are not comments; a server may send thousands of those at once."""
MAX_BUFFERED_EVENTS = 256
"""Events buffered behind a missing one; above this number the stream is resumed instead."""
MAX_BUFFERED_BYTES = 1 << 20
"""Size of an incomplete event, or of all events behind a missing one, above which the stream is
resumed instead."""


class EventAssembler:
    """Parses raw bytes from the engine into events and returns each once, in order.

    Events carry consecutive ids from 1. The engine may send them out of order, and repeats events
    when a stream is resumed.

    :param delivered: Number of events that the caller already received.

    >>> assembler = EventAssembler(delivered=0)
    >>> assembler.feed(b"id: 2\\ndata: b\\n\\nid: 1\\ndata: a\\n\\nid: 1\\ndata: a\\n\\nid: 3\\nda")
    b'id: 1\\ndata: a\\n\\nid: 2\\ndata: b\\n\\n'
    >>> assembler.delivered, assembler.complete
    (2, False)
    """

    def __init__(self, *, delivered: int) -> None:
        self.delivered = delivered
        self.duplicates = 0
        self.complete = False
        """Whether the final marker and all events before it were delivered."""
        self.usage_event = b""
        """The event with the token usage, empty until it was received."""
        self._partial_event = bytearray()
        self._out_of_order: dict[int, bytes] = {}
        self._out_of_order_bytes = 0
        self._done_received = False
        self._event_count = 0

    @property
    def resume_from(self) -> int:
        """Event after which a resumed stream starts, one before the last delivered event.

        The last delivered event is requested again, because its content shows whether it was the
        last data event; its id does not.
        """
        return max(0, self.delivered - 1)

    @property
    def overflowed(self) -> bool:
        """Whether too many events, or too long an incomplete one, are buffered."""
        return (
            len(self._out_of_order) > MAX_BUFFERED_EVENTS
            or self._out_of_order_bytes > MAX_BUFFERED_BYTES
            or len(self._partial_event) > MAX_BUFFERED_BYTES
        )

    @property
    def buffered_bytes(self) -> int:
        """Size of the incomplete event and of those behind a missing one."""
        return len(self._partial_event) + self._out_of_order_bytes

    def reset(self) -> None:
        """Discard partial and buffered input before the stream is resumed on a new connection."""
        self._partial_event = bytearray()
        self._out_of_order.clear()
        self._out_of_order_bytes = 0
        self._done_received = False
        self._event_count = 0

    def end_response(self) -> None:
        """Handle the end of a response that the engine completed.

        A response with the final marker and no events means that the caller already received the
        final marker.
        """
        if self._done_received and not self._event_count and self.delivered:
            self.complete = True

    def feed(self, data: bytes) -> bytes:
        """Parse bytes from the engine and return the events that are next in order."""
        # The partial event has no separator, but may end inside one.
        searched_bytes = max(0, len(self._partial_event) - 1)
        self._partial_event += data
        end = self._partial_event.rfind(SEPARATOR, searched_bytes)
        if end < 0:
            return b""
        events = bytes(self._partial_event[:end])
        del self._partial_event[: end + 2]
        if ID_PREFIX not in events and DONE_LINE not in events:
            return b""
        ready: list[bytes] = []
        for event in filter(_RELEVANT.match, events.split(SEPARATOR)):
            self._process_event(event, ready)
        if self._done_received:
            self._complete_if_done(ready)
        return b"".join(ready)

    def _process_event(self, event: bytes, ready: list[bytes]) -> None:
        event_id, line_end = _parse_event_id(event)
        if event[line_end:].startswith(DONE_LINE):
            self._done_received = True
            return
        if event_id is None:
            return
        self._event_count += 1
        if event_id == self.delivered and _has_usage(event):
            self.usage_event = event
        if event_id <= self.delivered or event_id in self._out_of_order:
            self.duplicates += 1
            return
        if event_id != self.delivered + 1:
            self._out_of_order[event_id] = event
            self._out_of_order_bytes += len(event)
            return
        self._deliver(event, ready)
        while (
            self._out_of_order
            and (next_event := self._out_of_order.pop(self.delivered + 1, None)) is not None
        ):
            self._out_of_order_bytes -= len(next_event)
            self._deliver(next_event, ready)

    def _deliver(self, event: bytes, ready: list[bytes]) -> None:
        self.delivered += 1
        if _has_usage(event):
            self.usage_event = event
        ready.append(event)
        ready.append(SEPARATOR)

    def _complete_if_done(self, ready: list[bytes]) -> None:
        # The final marker may arrive before earlier events. The usage event is always the last data
        # event: once it was delivered and no event is buffered, nothing is missing.
        if self.complete or self._out_of_order or not self.usage_event:
            return
        self.complete = True
        self.delivered += 1
        ready.append(b"id: %d\n%s\n\n" % (self.delivered, DONE_LINE))


def _has_usage(event: bytes) -> bool:
    return USAGE_KEY in event and not any(null_usage in event for null_usage in NULL_USAGE)


def _parse_event_id(event: bytes) -> tuple[int | None, int]:
    """Return the id of an event and the offset of the line after its ``id`` line."""
    if not event.startswith(ID_PREFIX):
        return None, 0
    end = event.find(b"\n")
    digits = event[4 : end if end >= 0 else len(event)]
    return decode_count(digits), (end + 1 if end >= 0 else len(event))
