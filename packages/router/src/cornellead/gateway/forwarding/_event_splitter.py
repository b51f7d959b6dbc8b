"""Splitting of an event stream into complete events, across resumes at other servers."""

from __future__ import annotations

SEPARATOR = b"\n\n"
ID_FIELD = b"id:"


class EventSplitter:
    """Splits a stream at event boundaries, so that a caller never gets part of an event.

    After a resume, events that the caller already has are dropped.

    :param last_event_id: Id of the last event that the caller has, or empty.

    >>> events = EventSplitter(last_event_id="")
    >>> events.feed(b"id: 1\\ndata: a\\n\\nid: 2\\nda")
    b'id: 1\\ndata: a\\n\\n'
    >>> events.restart()
    >>> events.feed(b"id: 1\\ndata: a\\n\\nid: 2\\ndata: b\\n\\n")
    b'id: 2\\ndata: b\\n\\n'
    >>> events.last_event_id
    '2'
    """

    def __init__(self, *, last_event_id: str) -> None:
        self.last_event_id = last_event_id
        self.has_gap = False
        """Whether the resumed stream skipped event ids, so that the caller would miss events."""
        self._tail = b""
        self._resumed = False

    @property
    def tail(self) -> bytes:
        """Bytes after the last complete event."""
        return self._tail

    def restart(self) -> None:
        """Expect the stream of another attempt, which resumes after ``last_event_id``."""
        self._tail = b""
        self._resumed = True
        self.has_gap = False

    def feed(self, data: bytes) -> bytes:
        """Buffer bytes of the stream and return the complete events that the caller lacks."""
        buffer = self._tail + data if self._tail else data
        end = buffer.rfind(SEPARATOR)
        if end < 0:
            self._tail = buffer
            return b""
        complete, self._tail = buffer[: end + 2], buffer[end + 2 :]
        if not self._resumed:
            previous_end = complete.rfind(SEPARATOR, 0, end)
            self.last_event_id = _event_id(complete[max(0, previous_end) :]) or self.last_event_id
            return complete
        return b"".join(self._drop_delivered(complete))

    def _drop_delivered(self, complete: bytes) -> list[bytes]:
        new_events = []
        for event in complete.split(SEPARATOR)[:-1]:
            event_id = _event_id(event)
            if event_id.isdecimal() and self.last_event_id.isdecimal():
                step = int(event_id) - int(self.last_event_id)
                if step <= 0:
                    continue
                if step > 1:
                    self.has_gap = True
                    break
            self.last_event_id = event_id or self.last_event_id
            new_events.append(event + SEPARATOR)
        return new_events


def _event_id(event: bytes) -> str:
    for line in event.split(b"\n"):
        if line.startswith(ID_FIELD):
            return line[len(ID_FIELD) :].strip().decode("latin-1")
    return ""
