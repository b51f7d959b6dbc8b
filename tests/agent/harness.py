"""Test harness: an agent's chat endpoint, called without a listener, and a scripted engine."""

from __future__ import annotations

import asyncio
from contextlib import suppress
from typing import TYPE_CHECKING
from typing import Any

from cornellead_agent.admission import AdmissionController
from cornellead_agent.admission import ColdLimit
from cornellead_agent.admission import ServerSample
from cornellead_agent.api import ChatEndpoint
from cornellead_agent.api import RelayCounters
from cornellead_agent.api import RouterRequestHandler
from cornellead_agent.chats import ChatIndex
from cornellead_agent.facts import ANNOUNCED
from cornellead_agent.facts import SERVER
from cornellead_agent.facts import ServerView
from cornellead_agent.relay import EngineClient
from cornellead_agent.relay import Upstream
from cornellead_core.auth import FleetKey
from cornellead_core.blackboard import Blackboard
from cornellead_core.load import LoadTable
from cornellead_core.settings import AgentSettings
from cornellead_core.settings import ProcessSettings
from cornellead_core.settings import ServerSettings

if TYPE_CHECKING:
    from collections.abc import Sequence

KEY = FleetKey(secret=b"0123456789abcdef")
REQUEST_ID = "00112233445566aa"
PATH = "/v1/chat/completions"


class ScriptedEngine:
    """Engine that sends the next prepared response on each connection.

    After a response, it closes the connection or waits for the agent to close it. Without a
    prepared response it sends status 404.
    """

    def __init__(self) -> None:
        self.responses: list[tuple[list[bytes], bool]] = []
        self.requests: list[bytes] = []
        self.received = asyncio.Event()
        self.disconnects = 0
        self.port = 0
        self.part_delay_s = 0.0

    def prepare_response(self, *parts: bytes, close: bool = True) -> None:
        """Append a prepared response.

        :param close: Whether to close the connection after the response.
        """
        self.responses.append((list(parts), close))

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection with a single request."""
        head = await reader.readuntil(b"\r\n\r\n")
        length = 0
        for line in head.split(b"\r\n"):
            if line.lower().startswith(b"content-length:"):
                length = int(line.split(b":")[1])
        self.requests.append(head + await reader.readexactly(length))
        self.received.set()
        parts, close = (
            self.responses.pop(0)
            if self.responses
            else ([b"HTTP/1.1 404 Not Found\r\ncontent-length: 0\r\n\r\n"], True)
        )
        for part in parts:
            writer.write(part)
            with suppress(ConnectionError):
                await writer.drain()
            await asyncio.sleep(self.part_delay_s)
        if not close:
            await reader.read()
            self.disconnects += 1
        writer.close()


def sse_head() -> bytes:
    """Return the head of a chunked event stream."""
    return (
        b"HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n"
    )


def chunk(content: bytes) -> bytes:
    """Encode one chunk of a chunked response."""
    return b"%x\r\n%s\r\n" % (len(content), content)


def event(number: int, *, usage: bool = False) -> bytes:
    """Return an SSE event of a chat stream.

    :param usage: Whether the event carries token usage instead of a choice.
    """
    data = b'{"choices":[],"usage":{"prompt_tokens":9,"prompt_tokens_details":{"cached_tokens":4}}}'
    return b"id: %d\ndata: %s\n\n" % (number, data if usage else b'{"choices":[%d]}' % number)


DONE = b"data: [DONE]\n\n"
LAST_CHUNK = b"0\r\n\r\n"


class FakeClock:
    """Clock that stands still unless a test sets it."""

    def __init__(self) -> None:
        self.now = 1000.0

    def monotonic(self) -> float:
        """Return the time in seconds."""
        return self.now

    def unix_ms(self) -> int:
        """Return the same time as Unix time in milliseconds."""
        return round(self.now * 1000)


class Harness:
    """Chat endpoint with its dependencies, recording the ASGI messages that it sends."""

    def __init__(self, *, port: int) -> None:
        self.board = Blackboard()
        self.board.write(SERVER, ServerView(up=True))
        self.board.write(ANNOUNCED, True)
        self.clock = FakeClock()
        self.chats = ChatIndex()
        self.counters = RelayCounters()
        self.cold_limit = ColdLimit(start=2, capacity=16, ceiling_s=0.6)
        self.cold_limit.observe(ServerSample("boot", 0, 16, 0))
        self.table = LoadTable()
        process = ProcessSettings("m0", "r", "dc0", "", "", "", "0123456789abcdef")
        server = ServerSettings(f"http://127.0.0.1:{port}")
        self.admission = AdmissionController(
            settings=AgentSettings(process, server, join_grace_s=600.0),
            board=self.board,
            table=self.table,
            cold_limit=self.cold_limit,
            chats=self.chats,
            incarnation=1_800_000_000_000,
            started_at=self.clock.now - 1000,
        )
        request_handler = RouterRequestHandler(
            key=KEY, board=self.board, table=self.table, admission=self.admission, clock=self.clock
        )
        self.client = EngineClient(url=server.url)
        self.upstream = Upstream(client=self.client)
        self.endpoint = ChatEndpoint(
            request_handler=request_handler,
            admission=self.admission,
            board=self.board,
            chats=self.chats,
            cold_limit=self.cold_limit,
            upstream=self.upstream,
            counters=self.counters,
            clock=self.clock,
        )
        self.messages: list[dict[str, Any]] = []
        self.disconnected = asyncio.Event()

    async def send_request(
        self,
        *,
        body: bytes = b'{"model":"chat","stream":true}',
        fields: Sequence[tuple[str, str]] = (),
        authentic: bool = True,
    ) -> None:
        """Send one request to the endpoint; the messages of its response are recorded.

        :param fields: Additional request headers.
        :param authentic: Whether the request is signed with the fleet key.
        """
        token = KEY.sign_request(
            now_ms=self.clock.unix_ms(), method="POST", path=PATH, request_id=REQUEST_ID
        )
        named = [("x-cl-request", REQUEST_ID), *fields]
        if authentic:
            named.append(("x-cl-auth", token))
        scope = {
            "type": "http",
            "method": "POST",
            "path": PATH,
            "headers": [(name.encode(), value.encode()) for name, value in named],
        }
        pending = [{"type": "http.request", "body": body, "more_body": False}]

        async def receive() -> dict[str, Any]:
            if pending:
                return pending.pop()
            await self.disconnected.wait()
            return {"type": "http.disconnect"}

        async def send(message: dict[str, Any]) -> None:
            self.messages.append(message)

        await self.endpoint.handle(scope, receive, send)

    @property
    def status(self) -> int:
        """Status code of the response."""
        return int(self.messages[0]["status"])

    @property
    def fields(self) -> dict[str, str]:
        """Headers of the response."""
        return {name.decode(): value.decode() for name, value in self.messages[0]["headers"]}

    @property
    def content(self) -> bytes:
        """Body of the response."""
        return b"".join(message["body"] for message in self.messages[1:])
