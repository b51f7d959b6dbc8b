"""Backend server for the soak test that counts executions and fails at random."""

from __future__ import annotations

import asyncio
import time
from collections import deque
from typing import TYPE_CHECKING
from weakref import WeakKeyDictionary

from tests.router.gateway.scripted_server import ScriptedServer
from tests.router.gateway.scripted_server import encode_event
from tests.soak.broken_answers import BROKEN_ANSWERS
from tests.soak.broken_answers import BrokenAnswers
from tests.soak.server_notices import LEAVING_HEADER
from tests.soak.server_notices import SERVER_HEADER
from tests.soak.server_trouble import CRASHING_PART

if TYPE_CHECKING:
    import random
    from collections import Counter
    from collections.abc import Callable

    from tests.router.gateway.scripted_server import ScriptedExchange

EVENTS_PER_STREAM = 12
EVENT_INTERVAL_S = 0.02
MAX_ARRIVALS = 10_000
TRICKLE_INTERVAL_S = 0.2
COMMENT = b": wait\n\n"
FAILURES = (
    *("refuse", "error", "reset", "mute", "late", "extra", "again", "trickle", "text"),
    *BROKEN_ANSWERS,
)
"""``again``: an earlier refusal on the connection is written once more before the response;
``trickle``: comments without events; ``text``: a stream is resumed with an error's text."""
ERROR_TEXT = b'{"error": "out of memory"}\n\n'


class RecordingServer:
    """Responds with the id of each request and counts how often each one ran.

    :param runs: Executions by request id, shared by all servers.
    :param rng: Chooses failures and delays.
    """

    def __init__(self, *, runs: Counter[str], rng: random.Random) -> None:
        self._runs = runs
        self._rng = rng
        self.limit_per_s: float | None = None
        """Rate of requests that the server names in its responses."""
        self.arrivals: deque[float] = deque(maxlen=MAX_ARRIVALS)
        self.crash: Callable[[bool], None] = lambda _: None
        """Called when a request crashes the server, with whether it is killed and its connections
        end regularly."""
        self._crash_count = 0
        self.name = ""
        self.on_arrival: Callable[[str], None] = lambda _: None
        """Called with the id of each request."""
        self.leaving = False
        """Whether all responses say that the server is leaving."""
        self.paused_until = 0.0
        """Time until which all requests are refused with a Retry-After."""
        self.on_pause: Callable[[str, float], None] = lambda *_: None
        """Called with the id of a refused request and the pause that was asked for, in seconds."""
        self.failure_rate = 0.0
        """Fraction of the requests that fail, in a way chosen at random."""
        self._refusals: WeakKeyDictionary[asyncio.StreamWriter, bytes] = WeakKeyDictionary()
        """Latest refusal on each connection."""
        self._broken_answers = BrokenAnswers(rng=rng, last_event=EVENTS_PER_STREAM)
        self.http_server = ScriptedServer(self._serve)

    async def _serve(self, exchange: ScriptedExchange) -> None:
        self.arrivals.append(time.monotonic())
        self.on_arrival(exchange.request_id)
        exchange.rate_limit = self.limit_per_s
        leaving = (LEAVING_HEADER,) if self.leaving else ()
        exchange.extra_headers = (f"{SERVER_HEADER}: {self.name}", *leaving)
        pause_s = self.paused_until - time.monotonic()
        if pause_s > 0.0:
            await self._ask_for_pause(exchange, pause_s)
            return
        failure = ""
        if self._rng.random() < self.failure_rate:
            failure = self._rng.choice(FAILURES)
        if failure == "refuse":
            await self._refuse(exchange)
            return
        if failure == "again":
            await exchange.send(self._refusals.get(exchange.writer, b""))
        self._runs[exchange.request_id] += 1
        await asyncio.sleep(self._rng.uniform(0.0, 0.05))
        if f"{CRASHING_PART}:" in exchange.header("x-prompt-prefix"):
            await self._crash(exchange)
            return
        if failure == "reset":
            exchange.reset()
        elif failure == "mute":
            await exchange.disconnected.wait()
        elif failure == "error":
            await exchange.send(exchange.sealed_response(500, b"failure"))
        elif b"/stream/" in exchange.head.split(b"\r\n")[0]:
            await self._stream(exchange, failure)
        elif failure in BROKEN_ANSWERS:
            body = expected_body(exchange.request_id)
            await self._broken_answers.respond(exchange, failure, body)
        else:
            if failure == "late":
                await asyncio.sleep(0.6)
            body = expected_body(exchange.request_id)
            await exchange.send(exchange.sealed_response(200, body))
            if failure == "extra":
                await exchange.send(exchange.sealed_response(200, b"extra"))

    async def _crash(self, exchange: ScriptedExchange) -> None:
        """Crash inside an event, or behind one of a stream without a length."""
        self._crash_count += 1
        killed = self._crash_count % 2 == 1
        if killed:
            await exchange.begin_without_length()
            await exchange.send(encode_event(1))
            await asyncio.sleep(EVENT_INTERVAL_S)
        else:
            await exchange.begin_stream()
            await exchange.send(b"6\r\nid: 1\n\r\n")
        self.crash(killed)

    async def _ask_for_pause(self, exchange: ScriptedExchange, pause_s: float) -> None:
        lines = ("X-Not-Executed: 1", f"Retry-After: {pause_s:.3f}")
        await exchange.send(exchange.response(503, *lines))
        self.on_pause(exchange.request_id, pause_s)

    async def _refuse(self, exchange: ScriptedExchange) -> None:
        refusal = exchange.response(503, "X-Not-Executed: 1")
        copy = refusal
        if self._rng.random() < 0.5:
            copy = refusal.replace(b"X-Request-Id", b"X-Other-Id")
        self._refusals[exchange.writer] = copy
        await exchange.send(refusal)

    async def _stream(self, exchange: ScriptedExchange, failure: str) -> None:
        first = int(exchange.header("last-event-id") or "0") + 1
        if failure == "text" and first > 1:
            await exchange.send(exchange.sealed_response(200, ERROR_TEXT))
            return
        if failure in BROKEN_ANSWERS:
            await self._broken_answers.stream(exchange, failure, first)
            return
        broken = failure not in ("", "again")
        last = self._rng.randint(first, EVENTS_PER_STREAM) if broken else EVENTS_PER_STREAM
        await exchange.begin_stream()
        for number in range(first, last + 1):
            await exchange.send_events(number, number)
            await asyncio.sleep(EVENT_INTERVAL_S)
        while failure == "trickle" and not exchange.disconnected.is_set():
            await exchange.send_chunk(COMMENT)
            await asyncio.sleep(TRICKLE_INTERVAL_S)
        if broken:
            exchange.reset()
            return
        await exchange.end_stream()


def expected_body(request_id: str) -> bytes:
    """Return the body of a successful response outside a stream."""
    return b"answer to " + request_id.encode()
