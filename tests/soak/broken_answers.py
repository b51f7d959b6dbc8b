"""Responses of the soak test's servers that break off or end with their connection."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from tests.router.gateway.scripted_server import encode_event

if TYPE_CHECKING:
    import random

    from tests.router.gateway.scripted_server import ScriptedExchange

BROKEN_ANSWERS = ("head_end", "head_reset", "unframed", "unframed_reset", "part_end", "part_reset")
"""``head``: cut in the middle of the head; ``unframed``: neither length nor chunks, complete when
the connection ends, but not when it is reset; ``part``: cut in the middle of a framed body, for a
stream inside an event."""
PAUSE_S = 0.02


class BrokenAnswers:
    """Writes responses that break off.

    :param last_event: Number of the last event of a stream.
    """

    def __init__(self, *, rng: random.Random, last_event: int) -> None:
        self._rng = rng
        self._last_event = last_event

    async def respond(self, exchange: ScriptedExchange, kind: str, body: bytes) -> None:
        """Write a response with a body in one of the ways of `BROKEN_ANSWERS`."""
        whole = exchange.sealed_response(200, body)
        head = whole[: len(whole) - len(body)]
        if kind.startswith("head"):
            await self._write_head_part(exchange, head)
        elif kind.startswith("unframed"):
            await exchange.send(head.replace(b"\r\nContent-Length: %d" % len(body), b""))
            await self._write_parts(exchange, body, whole=kind == "unframed")
        else:
            await exchange.send(head)
            await self._write_parts(exchange, body, whole=False)
        self._close(exchange, kind)

    async def stream(self, exchange: ScriptedExchange, kind: str, first: int) -> None:
        """Write a stream from an event on in one of the ways of `BROKEN_ANSWERS`."""
        lines = ["HTTP/1.1 200 OK", f"X-Request-Id: {exchange.request_id}"]
        lines += ["X-Response-Seal: seal", "Content-Type: text/event-stream"]
        lines += exchange.extra_headers
        head = "\r\n".join(lines).encode()
        if kind.startswith("head"):
            await self._write_head_part(exchange, head)
        elif kind.startswith("unframed"):
            await exchange.send(head + b"\r\n\r\n")
            body = b"".join(encode_event(event) for event in range(first, self._last_event + 1))
            await self._write_parts(exchange, body, whole=kind == "unframed")
        else:
            cut = self._rng.randint(first, max(first, self._last_event))
            await exchange.begin_stream()
            await exchange.send_events(first, cut - 1)
            event = encode_event(cut)
            await exchange.send_chunk(event[: self._rng.randrange(1, len(event))])
            await asyncio.sleep(PAUSE_S)
        self._close(exchange, kind)

    async def _write_head_part(self, exchange: ScriptedExchange, head: bytes) -> None:
        await exchange.send(head[: self._rng.randrange(1, len(head.rstrip(b"\r\n")) + 1)])
        await asyncio.sleep(PAUSE_S)

    async def _write_parts(self, exchange: ScriptedExchange, body: bytes, *, whole: bool) -> None:
        cut = self._rng.randrange(len(body)) if body else 0
        await exchange.send(body[:cut])
        await asyncio.sleep(PAUSE_S)
        if whole:
            await exchange.send(body[cut:])

    def _close(self, exchange: ScriptedExchange, kind: str) -> None:
        if kind.endswith("reset"):
            exchange.reset()
        else:
            exchange.writer.close()
