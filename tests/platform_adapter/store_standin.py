"""Stand-in of the platform's store: topics that keep the newest record of each key."""

from __future__ import annotations

import asyncio
import base64
import struct
import time
from typing import TYPE_CHECKING
from urllib.parse import parse_qsl

import msgspec

from cornellead.gateway.ingress import CallerListener
from cornellead.gateway.ingress import Serving
from cornellead_core.routing import CallerLimits
from cornellead_platform._records import KeyedRecord
from cornellead_platform._records import decode_records
from cornellead_platform._records import encode_record

if TYPE_CHECKING:
    from cornellead.gateway.ingress import CallerRequest
    from cornellead.gateway.ingress import ResponseWriter

LIMITS = CallerLimits(
    header_bytes=8192, body_bytes=1 << 20, header_timeout_s=5.0, idle_timeout_s=30.0
)
JSON = ((b"Content-Type", b"application/json"),)


class StoreStandin:
    """Keeps records in memory and answers as the store does."""

    def __init__(self, *, address: str) -> None:
        self.down = False
        """Whether every call gets 503."""
        self.silent = False
        """Whether calls get no answer."""
        self.calls: list[str] = []
        self._records: dict[str, list[KeyedRecord]] = {}
        self._first: dict[str, int] = {}
        self._changed = asyncio.Event()
        self._listener = CallerListener(
            address=address,
            handler=self,
            serving=Serving(),
            limits=lambda: LIMITS,
            clock=time.monotonic,
        )

    async def start(self) -> None:
        await self._listener.start()

    def stop(self) -> None:
        self._listener.stop_accepting()
        self._listener.close_idle()

    def put(self, topic: str, key: str, value: object) -> None:
        """Write a record; ``None`` removes the key."""
        data = b"" if value is None else msgspec.json.encode(value)
        self._append(topic, KeyedRecord(key, data))

    def put_raw(self, topic: str, key: str, value: bytes) -> None:
        """Write a record whose value is not JSON."""
        self._append(topic, KeyedRecord(key, value))

    def newest(self, topic: str) -> dict[str, bytes]:
        """Return the newest value of each key."""
        values = dict(self._records.get(topic, []))
        return {key: value for key, value in values.items() if value}

    def drop_history(self, topic: str) -> None:
        """Forget all records but the newest of each key."""
        self._first[topic] = len(self._records.get(topic, []))

    async def handle(self, req: CallerRequest, out: ResponseWriter) -> None:
        path, _, query = req.target.decode().partition("?")
        self.calls.append(path)
        args = dict(parse_qsl(query))
        if self.silent:
            await asyncio.sleep(3600)
        if self.down:
            out.respond(503, (), b"")
        elif path == "/v1/log-newest":
            self._answer_newest(args, out)
        elif path == "/v1/log-read":
            await self._answer_read(args, out)
        else:
            for record in decode_records(req.body):
                self._append(args["topic"], record)
            out.respond(200, JSON, b'{"offset":0,"end_offset":1}')

    def _append(self, topic: str, record: KeyedRecord) -> None:
        self._records.setdefault(topic, []).append(record)
        self._changed.set()
        self._changed = asyncio.Event()

    def _answer_newest(self, args: dict[str, str], out: ResponseWriter) -> None:
        newest = sorted(self.newest(args["topic"]).items())
        rest = [item for item in newest if item[0] > args.get("after", "")]
        page = rest[:2]
        body = {
            "items": [
                {"key": key, "value": base64.b64encode(value).decode(), "offset": 0}
                for key, value in page
            ],
            "has_more": len(rest) > len(page),
            "end_offset": len(self._records.get(args["topic"], [])),
        }
        out.respond(200, JSON, msgspec.json.encode(body))

    async def _answer_read(self, args: dict[str, str], out: ResponseWriter) -> None:
        topic, start = args["topic"], int(args["from"])
        first = self._first.get(topic, 0)
        if start < first:
            out.respond(410, JSON, msgspec.json.encode({"first_offset": first}))
            return
        if start >= len(self._records.get(topic, [])) and "wait_ms" in args:
            try:
                await asyncio.wait_for(self._changed.wait(), int(args["wait_ms"]) / 1000)
            except TimeoutError:
                pass
        records = self._records.get(topic, [])
        data = b"".join(encode_record(*record) for record in records[start:])
        out.respond(200, (), struct.pack(">QQ", len(records), first) + data)
