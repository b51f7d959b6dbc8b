"""Order of the events of one engine stream."""

from __future__ import annotations

SEPARATOR = b"\n\n"
DONE = b"data: [DONE]"
USAGE = b'"usage"'
NO_USAGE = (b'"usage":null', b'"usage": null')
MAX_HELD = 256
"""Events held for an earlier one that is missing; beyond that the stream is resumed instead."""


class EventAssembler:
    """Turns raw bytes from the engine into events in order, each once.

    :param delivered: Number of events that the caller already has.

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
        """Whether the final event was delivered after all events before it."""
        self.usage_event = b""
        self._tail = b""
        self._held: dict[int, bytes] = {}
        self._done_seen = False
        self._seen = 0

    @property
    def resume_from(self) -> int:
        """Event after which a resumed stream starts: the last delivered one is asked for again.

        Its content tells whether it was the last data event, which its number does not.
        """
        return max(0, self.delivered - 1)

    @property
    def overflowed(self) -> bool:
        """Whether too many events wait for a missing one."""
        return len(self._held) > MAX_HELD

    def restart(self) -> None:
        """Forget a partial event after the connection to the engine broke."""
        self._tail = b""
        self._held.clear()
        self._done_seen = False
        self._seen = 0

    def close(self) -> None:
        """Take the end of a response that the engine completed.

        When it had the final marker and no event, the final marker was delivered before.
        """
        if self._done_seen and not self._seen and self.delivered:
            self.complete = True

    def feed(self, data: bytes) -> bytes:
        """Take bytes from the engine and return the events that may be delivered now."""
        buffer = self._tail + data if self._tail else data
        end = buffer.rfind(SEPARATOR)
        if end < 0:
            self._tail = buffer
            return b""
        self._tail = buffer[end + 2 :]
        out: list[bytes] = []
        for event in buffer[:end].split(SEPARATOR):
            self._take(event, out)
        if self._done_seen:
            self._finish(out)
        return b"".join(out)

    def _take(self, event: bytes, out: list[bytes]) -> None:
        number, line_end = _event_number(event)
        if event[line_end:].startswith(DONE):
            self._done_seen = True
            return
        if number is None:
            return
        self._seen += 1
        if number == self.delivered and _has_usage(event):
            self.usage_event = event
        if number <= self.delivered or number in self._held:
            self.duplicates += 1
            return
        if number != self.delivered + 1:
            self._held[number] = event
            return
        self._deliver(event, out)
        while self._held and (held := self._held.pop(self.delivered + 1, None)) is not None:
            self._deliver(held, out)

    def _deliver(self, event: bytes, out: list[bytes]) -> None:
        self.delivered += 1
        if _has_usage(event):
            self.usage_event = event
        out.append(event)
        out.append(SEPARATOR)

    def _finish(self, out: list[bytes]) -> None:
        # The final marker may overtake events. The usage event is always the last data event, so
        # nothing is missing once it was delivered and nothing is held.
        if self.complete or self._held or not self.usage_event:
            return
        self.complete = True
        self.delivered += 1
        out.append(b"id: %d\n%s\n\n" % (self.delivered, DONE))


def _has_usage(event: bytes) -> bool:
    return USAGE in event and not any(absent in event for absent in NO_USAGE)


def _event_number(event: bytes) -> tuple[int | None, int]:
    """Return the number of an event and where the lines after its ``id`` line start."""
    if not event.startswith(b"id: "):
        return None, 0
    end = event.find(b"\n")
    digits = event[4 : end if end >= 0 else len(event)]
    return (int(digits) if digits.isdigit() else None), (end + 1 if end >= 0 else len(event))
