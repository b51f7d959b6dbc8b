"""Responses of an engine that are cut off at any byte, or end with their connection."""

from __future__ import annotations

import asyncio

import pytest
from returns.result import Success
from tests.router.gateway.scripted_server import ScriptedExchange
from tests.router.gateway.scripted_server import ScriptedServer

from cornellead_agent.relay import EngineClient

BODY = b"0123456789" * 3
FRAMINGS = {
    "length": (b"Content-Length: %d\r\n" % len(BODY), BODY),
    "chunked": (
        b"Transfer-Encoding: chunked\r\n",
        b"f\r\n%b\r\nf\r\n%b\r\n0\r\nX-Trailer: t\r\n\r\n" % (BODY[:15], BODY[15:]),
    ),
    "neither": (b"", BODY),
}
INTERIM = b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"
TIMEOUT_S = 0.15


class CuttingEngine:
    """Ends each response after a number of bytes, in the given way."""

    def __init__(self, *, prefix: bytes, framing: str, end: str) -> None:
        header, body = FRAMINGS[framing]
        self.head = prefix + b"HTTP/1.1 200 OK\r\n" + header + b"\r\n"
        self.data = self.head + body
        self.end = end
        self.cut = 0

    async def respond(self, exchange: ScriptedExchange) -> None:
        """Write the response up to the cut."""
        # The interim response arrives by itself, as it does when the final one takes longer.
        first = self.data[: min(self.cut, len(INTERIM))]
        await exchange.send(first)
        await asyncio.sleep(0.002)
        await exchange.send(self.data[len(first) : self.cut])
        if self.end == "reset":
            await asyncio.sleep(0.002)
            exchange.reset()
        elif self.end == "fin":
            exchange.writer.close()
        else:
            await exchange.disconnected.wait()


async def _fetch(engine: CuttingEngine, client: EngineClient, cut: int) -> bytes | None:
    engine.cut = cut
    result = await client.fetch("GET", "/x", timeout_s=TIMEOUT_S if engine.end == "silence" else 5)
    if not isinstance(result, Success):
        return None
    response = result.unwrap()
    return response.body if response.status == 200 else b"status %d" % response.status


@pytest.mark.parametrize("end", ["fin", "reset", "silence"])
@pytest.mark.parametrize("framing", FRAMINGS)
@pytest.mark.parametrize("prefix", [b"", INTERIM], ids=["plain", "interim"])
async def test_engine_response_that_is_cut_never_looks_complete(
    prefix: bytes, framing: str, end: str
) -> None:
    """Guards against an answer with an empty or short body, framed as whole, after an engine
    stopped anywhere in its head or body, and against an interim response taken for the answer."""
    engine = CuttingEngine(prefix=prefix, framing=framing, end=end)
    server = ScriptedServer(engine.respond)
    await server.start()
    client = EngineClient(url=f"http://{server.address}")
    total, head = len(engine.data), len(engine.head)
    cuts = range(total) if end != "silence" else (len(INTERIM), head - 1, head, total - 1)
    unbounded = framing == "neither" and end == "fin"
    wrong = []
    for cut in cuts:
        body = await _fetch(engine, client, cut)
        expected = engine.data[head:cut] if unbounded and cut >= head else None
        if body != expected:
            wrong.append((cut, body))
    whole = await _fetch(engine, client, total)
    server.stop()
    assert wrong == []
    if end == "fin" or (framing != "neither" and end == "silence"):
        assert whole == BODY
