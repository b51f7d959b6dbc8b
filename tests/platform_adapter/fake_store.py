"""In-memory fake of the platform's store, whose topics retain the newest record of each key."""

from __future__ import annotations

import asyncio
import base64
import struct
import time
from typing import TYPE_CHECKING
from urllib.parse import parse_qsl

import msgspec

from cornellead.gateway.ingress import CallerListener
from cornellead.gateway.ingress import ServingState
from cornellead_core.routing import CallerLimits
from cornellead_platform._records import KeyedRecord
from cornellead_platform._records import decode_records
from cornellead_platform._records import encode_record

if TYPE_CHECKING:
    from cornellead.gateway.ingress import CallerRequest
    from cornellead.gateway.ingress import ResponseWriter

CALLER_LIMITS = CallerLimits(
    header_bytes=8192, body_bytes=1 << 20, header_timeout_s=5.0, idle_timeout_s=30.0
)
JSON_HEADERS = ((b"Content-Type", b"application/json"),)


class FakeStore:
    """Serves the HTTP API of the store from memory, with faults that tests can inject.

    :param address: ``ip:port`` to listen on.
    """

    def __init__(self, *, address: str) -> None:
        self.down = False
        """Whether every call is rejected with status 503."""
        self.silent = False
        """Whether calls get no response."""
        self.era_header: bytes | None = b"1"
        """Value of the header in each response; ``None`` for a store that names no era."""
        self.called_paths: list[str] = []
        """Paths of all calls, in order of arrival."""
        self._records: dict[str, list[KeyedRecord]] = {}
        self._first_offsets: dict[str, int] = {}
        self._changed = asyncio.Event()
        self._listener = CallerListener(
            address=address,
            handler=self,
            serving=ServingState(),
            limits=lambda: CALLER_LIMITS,
            clock=time.monotonic,
        )

    @property
    def era(self) -> int:
        """Number in the header, which rises by one each time the store comes back from a copy."""
        return int(self.era_header or b"0")

    @era.setter
    def era(self, era: int) -> None:
        self.era_header = b"%d" % era

    async def start(self) -> None:
        await self._listener.start()

    def stop(self) -> None:
        self._listener.stop_accepting()
        self._listener.close_idle()

    def put(self, topic: str, key: str, value: object) -> None:
        """Append a record with a JSON value; ``None`` removes the key."""
        data = b"" if value is None else msgspec.json.encode(value)
        self._append(topic, KeyedRecord(key, data))

    def put_raw(self, topic: str, key: str, value: bytes) -> None:
        """Append a record whose value is written as it is, for example malformed JSON."""
        self._append(topic, KeyedRecord(key, value))

    def newest(self, topic: str) -> dict[str, bytes]:
        """Return the newest value of each key that was not removed."""
        values = dict(self._records.get(topic, []))
        return {key: value for key, value in values.items() if value}

    def expire_records(self, topic: str) -> None:
        """Move the first retained offset to the end of the topic, so that older reads get 410."""
        self._first_offsets[topic] = len(self._records.get(topic, []))

    def copy(self) -> dict[str, list[KeyedRecord]]:
        """Return a copy of all topics, for `restore`."""
        return {topic: list(records) for topic, records in self._records.items()}

    def restore(self, copy: dict[str, list[KeyedRecord]]) -> None:
        """Go back to a copy: later records are lost, and their offsets are given out again."""
        self._records = {topic: list(records) for topic, records in copy.items()}
        self.era += 1
        self._wake_readers()

    async def handle(self, req: CallerRequest, out: ResponseWriter) -> None:
        path, _, query = req.target.decode().partition("?")
        self.called_paths.append(path)
        params = dict(parse_qsl(query))
        if self.silent:
            await asyncio.sleep(3600)
        if self.down:
            out.respond(503, self._headers, b"")
        elif path == "/v1/log-newest":
            self._respond_newest(params, out)
        elif path == "/v1/log-read":
            await self._respond_read(params, out)
        elif "at" in params and int(params["at"]) != len(self._records.get(params["topic"], [])):
            end_offset = len(self._records.get(params["topic"], []))
            out.respond(412, self._headers, msgspec.json.encode({"end_offset": end_offset}))
        else:
            for record in decode_records(req.body):
                self._append(params["topic"], record)
            out.respond(200, self._headers, b'{"offset":0,"end_offset":1}')

    def _append(self, topic: str, record: KeyedRecord) -> None:
        self._records.setdefault(topic, []).append(record)
        self._wake_readers()

    def _wake_readers(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    @property
    def _headers(self) -> tuple[tuple[bytes, bytes], ...]:
        if self.era_header is None:
            return JSON_HEADERS
        return (*JSON_HEADERS, (b"Store-Era", self.era_header))

    def _respond_newest(self, params: dict[str, str], out: ResponseWriter) -> None:
        newest = sorted(self.newest(params["topic"]).items())
        records = self._records.get(params["topic"], [])
        offsets = {record.key: offset for offset, record in enumerate(records)}
        remaining = [item for item in newest if item[0] > params.get("after", "")]
        page = remaining[:2]
        body = {
            "items": [
                {"key": key, "value": base64.b64encode(value).decode(), "offset": offsets[key]}
                for key, value in page
            ],
            "has_more": len(remaining) > len(page),
            "end_offset": len(self._records.get(params["topic"], [])),
        }
        out.respond(200, self._headers, msgspec.json.encode(body))

    async def _respond_read(self, params: dict[str, str], out: ResponseWriter) -> None:
        topic, start = params["topic"], int(params["from"])
        first = self._first_offsets.get(topic, 0)
        if start < first or start > len(self._records.get(topic, [])):
            out.respond(410, self._headers, msgspec.json.encode({"first_offset": first}))
            return
        if start >= len(self._records.get(topic, [])) and "wait_ms" in params:
            try:
                await asyncio.wait_for(self._changed.wait(), int(params["wait_ms"]) / 1000)
            except TimeoutError:
                pass
        records = self._records.get(topic, [])
        data = b""
        for record in records[start:]:
            encoded = encode_record(*record)
            if data and len(data) + len(encoded) > int(params.get("max_kb", "1024")) << 10:
                break
            data += encoded
        out.respond(200, self._headers, struct.pack(">QQ", len(records), first) + data)
