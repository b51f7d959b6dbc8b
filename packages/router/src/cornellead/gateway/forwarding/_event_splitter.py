"""Events of one stream, over the runs that produce it."""

from __future__ import annotations

SEPARATOR = b"\n\n"
ID_FIELD = b"id:"


class EventSplitter:
    """Cuts a stream at the ends of its events, so that a break never leaves part of one.

    After a resume, events that the caller already has are dropped.

    :param last_event: Id of the last event that the caller has, or empty.

    >>> events = EventSplitter(last_event="")
    >>> events.feed(b"id: 1\\ndata: a\\n\\nid: 2\\nda")
    b'id: 1\\ndata: a\\n\\n'
    >>> events.restart()
    >>> events.feed(b"id: 1\\ndata: a\\n\\nid: 2\\ndata: b\\n\\n")
    b'id: 2\\ndata: b\\n\\n'
    >>> events.last_event
    '2'
    """

    def __init__(self, *, last_event: str) -> None:
        self.last_event = last_event
        self.gap = False
        """Whether a run went on later than after the last event, so that events are missing."""
        self._tail = b""
        self._resumed = False

    @property
    def tail(self) -> bytes:
        """Bytes after the last whole event."""
        return self._tail

    def restart(self) -> None:
        """Begin a new run that goes on after the last event."""
        self._tail = b""
        self._resumed = True
        self.gap = False

    def feed(self, data: bytes) -> bytes:
        """Take bytes and return the whole events that the caller lacks."""
        buffer = self._tail + data if self._tail else data
        end = buffer.rfind(SEPARATOR)
        if end < 0:
            self._tail = buffer
            return b""
        whole, self._tail = buffer[: end + 2], buffer[end + 2 :]
        if not self._resumed:
            last = whole.rfind(SEPARATOR, 0, end)
            self.last_event = _event_id(whole[max(0, last) :]) or self.last_event
            return whole
        return b"".join(self._take_new(whole))

    def _take_new(self, whole: bytes) -> list[bytes]:
        kept = []
        for event in whole.split(SEPARATOR)[:-1]:
            number = _event_id(event)
            if number.isdecimal() and self.last_event.isdecimal():
                step = int(number) - int(self.last_event)
                if step <= 0:
                    continue
                if step > 1:
                    self.gap = True
                    break
            self.last_event = number or self.last_event
            kept.append(event + SEPARATOR)
        return kept


def _event_id(event: bytes) -> str:
    for line in event.split(b"\n"):
        if line.startswith(ID_FIELD):
            return line[len(ID_FIELD) :].strip().decode("latin-1")
    return ""
