"""Decides which bytes of an agent's event stream may go to the caller."""

from __future__ import annotations

BOUNDARY = b"\n\n"
DONE = b"data: [DONE]\n\n"
ID = b"id: "
MAX_EVENT_BYTES = 1 << 20
"""Longest event; more bytes without a boundary are a fault, which bounds memory per stream."""


class StreamCutter:
    """Cuts a byte stream at event boundaries and checks that no event is missing.

    Events are forwarded in order of their number, each once. The event ``[DONE]`` is kept back
    until the agent's end comment for this request, so a caller never sees a truncated stream as
    complete.

    :param request_id: Id that the end comment must carry.

    >>> cutter = StreamCutter(request_id="ab")
    >>> cutter.feed(b"id: 1\\ndata: x\\n\\ndata: [DONE]\\n\\n")
    b'id: 1\\ndata: x\\n\\n'
    >>> cutter.feed(b": end ab 1\\n\\n"), cutter.ended
    (b'data: [DONE]\\n\\n', True)
    """

    def __init__(self, *, request_id: str) -> None:
        self._request_id = request_id.encode()
        self._rest = b""
        self._done = b""
        self._prefix = b"id: 1\n"
        self.delivered = 0
        """Number of the last event forwarded."""
        self.ended = False
        self.moved = False
        self.fault = ""
        """Why the stream cannot be trusted further, or empty."""

    def restart(self) -> None:
        """Forget what an earlier response left incomplete, to read a resumed stream."""
        self._rest = b""
        self._done = b""
        self.moved = False
        self.fault = ""

    def feed(self, data: bytes) -> bytes:
        """Return the bytes to forward, whole events only."""
        if (
            not self._rest
            and data.startswith(self._prefix)
            and data.find(BOUNDARY) == len(data) - 2
            and not data.endswith(DONE)
            and not self.stopped
        ):
            # One whole event in order: the usual case while tokens arrive one by one.
            self._count()
            return data
        return self._feed_slowly(data)

    @property
    def stopped(self) -> bool:
        """Whether no more bytes of this response matter."""
        return self.ended or self.moved or bool(self.fault)

    def _feed_slowly(self, data: bytes) -> bytes:
        self._rest += data
        out: list[bytes] = []
        start = 0
        while not self.stopped:
            end = self._rest.find(BOUNDARY, start)
            if end < 0:
                break
            event = self._rest[start : end + 2]
            start = end + 2
            if event.startswith(b":"):
                self._read_comment(event, out)
            else:
                self._read_event(event, out)
        self._rest = self._rest[start:]
        if len(self._rest) > MAX_EVENT_BYTES:
            self.fault = f"event {self.delivered + 1} is longer than {MAX_EVENT_BYTES} bytes"
        return b"".join(out)

    def _read_event(self, event: bytes, out: list[bytes]) -> None:
        number = _event_number(event)
        if event.endswith(DONE) and event[: -len(DONE)] in (b"", ID + b"%d\n" % (number or 0)):
            self._done = event
            return
        if number is None or number > self.delivered + 1 or self._done:
            self.fault = f"event {number} follows event {self.delivered}"
            return
        if number == self.delivered + 1:
            out.append(event)
            self._count()

    def _read_comment(self, comment: bytes, out: list[bytes]) -> None:
        words = comment[1:].split()
        if not words or words[0] not in (b"end", b"moved"):
            return
        if len(words) != 3 or words[1] != self._request_id or not words[2].isdigit():
            self.fault = "comment of another request"
            return
        events = int(words[2])
        if words[0] == b"moved":
            self.moved = True
            return
        # The agent may number the final [DONE] event or leave it out of the count.
        if events not in (self.delivered, self.delivered + bool(self._done)):
            self.fault = f"{events} events were sent, {self.delivered} arrived"
            return
        self.ended = True
        out.append(self._done)

    def _count(self) -> None:
        self.delivered += 1
        self._prefix = b"id: %d\n" % (self.delivered + 1)


def _event_number(event: bytes) -> int | None:
    for line in event.split(b"\n"):
        if line.startswith(ID) and line[4:].isdigit():
            return int(line[4:])
    return None
