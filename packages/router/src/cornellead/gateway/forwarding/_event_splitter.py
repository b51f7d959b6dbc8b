"""Splitting of an event stream into complete events, across resumes at other servers."""

from __future__ import annotations

import re

SEPARATOR = b"\n\n"
ID_FIELD = b"id:"
COMMENT = b":"
ID_LINE = b"\n" + ID_FIELD
_FIELD_LINE = re.compile(rb"\n[^:\n]")
MAX_ID_DIGITS = 18
"""Maximum number of digits of an id that counts as a number, which keeps it below 2**63."""
MAX_ID_LENGTH = 1024
"""Maximum length of an id that is sent to another server: headers are commonly limited to 8 KB."""


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
        """Whether the resumed stream skipped event ids or contains something else than the missing
        events, so that the caller would not get the rest of its stream."""
        self.progressed = False
        """Whether the latest bytes contained the end of an event that the caller lacked."""
        self._tail = bytearray()
        self._resumed = False
        self._delivered = False

    @property
    def tail(self) -> bytearray:
        """Bytes after the last complete event."""
        return self._tail

    @property
    def resumable(self) -> bool:
        """Whether a header can tell another server where to continue."""
        event_id = self.last_event_id
        fits = event_id.isprintable() and len(event_id) <= MAX_ID_LENGTH
        return not self._delivered or (bool(event_id) and fits)

    def restart(self) -> None:
        """Expect the stream of another attempt, which resumes after ``last_event_id``."""
        self._tail = bytearray()
        self._resumed = True
        self.has_gap = False

    def feed(self, data: bytes) -> bytes:
        """Buffer bytes of the stream and return the complete events that the caller lacks."""
        # The tail has no separator, but may end inside one.
        searched_bytes = max(0, len(self._tail) - 1)
        self._tail += data
        end = self._tail.rfind(SEPARATOR, searched_bytes)
        self.progressed = False
        if end < 0:
            return b""
        complete = bytes(self._tail[: end + 2])
        del self._tail[: end + 2]
        if self._resumed:
            complete = b"".join(self._drop_delivered(complete))
        else:
            self.last_event_id = _last_event_id(complete) or self.last_event_id
        self.progressed = not _is_comment(complete)
        self._delivered = self._delivered or self.progressed
        return complete

    def _drop_delivered(self, complete: bytes) -> list[bytes]:
        new_events = []
        for event in complete.split(SEPARATOR)[:-1]:
            if event.startswith(COMMENT) and _is_comment(event):
                continue
            event_id = _event_id(event)
            if not event_id and _is_comment(event):
                continue
            if not self._continues(event_id):
                self.has_gap = True
                break
            if self._was_delivered(event_id):
                continue
            self.last_event_id = event_id or self.last_event_id
            new_events.append(event + SEPARATOR)
        return new_events

    def _was_delivered(self, event_id: str) -> bool:
        if not _is_number(event_id) or not _is_number(self.last_event_id):
            return False
        return int(event_id) <= int(self.last_event_id)

    def _continues(self, event_id: str) -> bool:
        """Return whether an event with this id may follow, or was delivered before."""
        if not _is_number(self.last_event_id):
            return bool(event_id) or not self.last_event_id
        return _is_number(event_id) and int(event_id) <= int(self.last_event_id) + 1


def _is_number(event_id: str) -> bool:
    return event_id.isdecimal() and len(event_id) <= MAX_ID_DIGITS


def _is_comment(event: bytes) -> bool:
    return event[:1] in (COMMENT, b"\n", b"") and _FIELD_LINE.search(event) is None


def _last_event_id(events: bytes) -> str:
    end = len(events)
    while end > 0:
        # The only line without a line feed before it is the first one.
        line = max(0, events.rfind(ID_LINE, 0, end))
        start = events.rfind(SEPARATOR, 0, line + 1)
        event_id = _event_id(events[max(0, start) : events.find(b"\n", line + 1)])
        if event_id:
            return event_id
        end = min(start, line)
    return ""


def _event_id(event: bytes) -> str:
    for line in event.split(b"\n"):
        if line.startswith(ID_FIELD):
            return line[len(ID_FIELD) :].strip().decode("latin-1")
    return ""
