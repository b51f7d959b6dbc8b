"""State machine: a server that repeats, cuts, mislabels and delays answers on one connection."""

from __future__ import annotations

import asyncio
from typing import Any

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine
from hypothesis.stateful import invariant
from hypothesis.stateful import precondition
from hypothesis.stateful import rule

from cornellead.upstream import EchoedHeader
from cornellead.upstream import Exchange
from cornellead.upstream._connection import Connection
from cornellead_core.pacing import ReadPacer

REQUEST_IDS = ("a", "b", "c")
HEADER = "x-request-id"
SUCCESS = 200


class FakeTransport(asyncio.Transport):
    """Discards what is written."""

    def write(self, data: Any) -> None:
        pass

    def abort(self) -> None:
        pass

    def pause_reading(self) -> None:
        pass

    def resume_reading(self) -> None:
        pass


class Answer:
    """Answer of the server to one send, with a token that shows to which."""

    def __init__(self, request_id: str, status: int, token: int) -> None:
        self.request_id, self.status, self.token = request_id, status, token

    def encode(self, *, request_id: str | None) -> bytes:
        """Return the bytes of the answer, with this id or without any."""
        lines = [f"HTTP/1.1 {self.status} X", f"X-Token: {self.token}", "Content-Length: 4"]
        if request_id is not None:
            lines.append(f"X-Request-Id: {request_id}")
        return "\r\n".join(lines).encode() + b"\r\n\r\n%04d" % self.token


class ConnectionMachine(RuleBasedStateMachine):
    """A connection delivers for each request its own answer, or none."""

    def __init__(self) -> None:
        super().__init__()
        self.loop = asyncio.new_event_loop()
        self.token = 0
        self.open_connection()

    def open_connection(self) -> None:
        """Start with a new connection, as the pool does when none can be reused."""
        self.idle = True
        self.exchange: Exchange | None = None
        self.answered = False
        self.earlier: list[Answer] = []
        self.succeeded: set[str] = set()
        self.conn = Connection(
            loop=self.loop,
            release=self.release,
            pacer=ReadPacer(call_soon=self.loop.call_soon),
            address="server",
        )
        self.conn.connection_made(FakeTransport())

    def release(self, conn: Connection) -> None:
        """Return the connection to the pool."""
        assert conn is self.conn
        self.idle = True

    def receive(self, data: bytes) -> None:
        """Pass bytes of the server to the connection, as the event loop does."""
        if self.conn.closed:
            return
        self.conn.get_buffer(-1)[: len(data)] = data
        self.conn.buffer_updated(len(data))

    def teardown(self) -> None:
        """Close the loop."""
        self.loop.close()

    @precondition(lambda self: self.idle or self.conn.closed)
    @rule(request_id=st.sampled_from(REQUEST_IDS))
    def send(self, request_id: str) -> None:
        """Send a request that has not succeeded yet, on this connection or on a new one."""
        self.loop.run_until_complete(asyncio.sleep(0))
        expect = EchoedHeader(HEADER, request_id)
        usable = self.idle and not self.conn.closed and self.conn.may_carry(expect)
        if request_id in self.succeeded or not usable:
            self.open_connection()
        self.token += 1
        self.request_id, self.idle, self.answered = request_id, False, False
        self.exchange = self.conn.send(b"GET / HTTP/1.1\r\n\r\n", b"", expect=expect)

    @precondition(lambda self: not self.idle and not self.answered and not self.conn.closed)
    @rule(status=st.sampled_from((SUCCESS, 429, 503)), cut=st.integers(1, 60))
    def answer(self, status: int, cut: int) -> None:
        """Answer the request, in two pieces."""
        self.answered = True
        answer = Answer(self.request_id, status, self.token)
        data = answer.encode(request_id=self.request_id)
        self.receive(data[:cut])
        self.receive(data[cut:])
        self.earlier.append(answer)
        if status == SUCCESS:
            self.succeeded.add(self.request_id)

    @precondition(lambda self: bool(self.earlier))
    @rule(data=st.data(), labelled=st.booleans())
    def repeat_an_earlier_answer(self, data: st.DataObject, labelled: bool) -> None:
        """Write an earlier answer of this connection once more, with or without its id."""
        answer = data.draw(st.sampled_from(self.earlier))
        self.receive(answer.encode(request_id=answer.request_id if labelled else None))

    @rule(request_id=st.sampled_from((*REQUEST_IDS, "d")))
    def answer_nobody(self, request_id: str) -> None:
        """Write an answer with the id of a request that is not in progress."""
        if self.idle or request_id != self.request_id:
            self.receive(Answer(request_id, SUCCESS, 0).encode(request_id=request_id))

    @rule(cut=st.integers(1, 40))
    def break_off(self, cut: int) -> None:
        """Write a part of an answer and close the connection."""
        if not self.idle and not self.answered and not self.conn.closed:
            answer = Answer(self.request_id, SUCCESS, self.token)
            self.receive(answer.encode(request_id=self.request_id)[:cut])
        self.conn.connection_lost(None)

    @rule()
    def let_time_pass(self) -> None:
        """Run what the connection has scheduled, such as its release."""
        self.loop.run_until_complete(asyncio.sleep(0))

    @invariant()
    def each_request_gets_its_own_answer(self) -> None:
        """No status, such as a refusal, and no body comes from another answer."""
        exchange = self.exchange
        if exchange is None or exchange._head is None:
            return
        assert exchange._head.headers["x-token"] == str(self.token)
        body = b"".join(exchange._chunks)
        assert (b"%04d" % self.token).startswith(body)
        assert not exchange.complete or body == b"%04d" % self.token


TestConnection = ConnectionMachine.TestCase
TestConnection.settings = settings(
    max_examples=200, stateful_step_count=30, deadline=None, derandomize=True
)
