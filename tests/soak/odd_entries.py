"""Entries that another writer leaves among those of the servers, in the soak test."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING
from typing import NamedTuple

import msgspec
from tests.platform_adapter import payloads

if TYPE_CHECKING:
    import random

    from tests.platform_adapter.fake_store import FakeStore

TOPIC = "keyed.servers"
CLOSED_ADDRESS = "127.0.0.1:1"
"""Address at which nothing listens."""
UNREADABLE = (b"\xff\xfe\x00{", b'{"service": "app", "slots"', b"[]", b"7", b'"ready"', b"{}")
PORTS = ("0", "65536", "-1", "9" * 5000, "", "http", "8080.5")
NUMBERS = (
    "1e999",
    "-1e999",
    "1e308",
    str(2**70),
    str(-(2**70)),
    "9" * 400,
    "9" * 5000,
    "-3",
    "0.5",
)
WRONG_TYPES = ("null", "[]", "{}", '"7"', "true")
NUMBER_FIELDS = ("slots", "cold_remaining_ms", "sequence", "born")
FIELDS = (*NUMBER_FIELDS, "service", "address", "zone", "version", "state", "unknown")
NESTED_FIELDS = ("unknown", "slots")
DEPTHS = (200, 2_000, 20_000)
MAX_ENTRIES = 4
READ_S = 1.0
"""Time after which gateways have read what was put."""
DETAIL_LENGTH = 24


class OddEntry(NamedTuple):
    """An entry that no server has written."""

    detail: str
    """The odd field and the beginning of its value."""
    data: bytes
    may_be_server: bool
    """Whether a reader may take it for the entry of a server, at which nothing listens."""


class OddEntries:
    """Puts odd entries among those of the servers and removes them again."""

    def __init__(self, *, store: FakeStore, rng: random.Random) -> None:
        self._store = store
        self._rng = rng
        self._entries = _make_entries()
        self._count = 0
        self._keys: dict[str, bool] = {}
        """Keys that are in the store, with whether their entry may be read as that of a server."""

    async def inject(self) -> str:
        """Put some entries, or remove one."""
        if self._keys and self._rng.random() < 0.3:
            key = self._rng.choice(sorted(self._keys))
            del self._keys[key]
            self._store.put(TOPIC, key, None)
            return f"{key} removed"
        count = self._rng.randint(1, MAX_ENTRIES)
        return ", ".join(self._put(self._rng.choice(self._entries)) for _ in range(count))

    async def put_all(self) -> None:
        """Put each odd entry once, and remove those that may be read as servers."""
        for entry in self._entries:
            self._put(entry)
        await asyncio.sleep(READ_S)
        self.clear()

    def clear(self) -> None:
        """Remove the entries that may be read as servers; the others stay until the end."""
        for key in [key for key, is_server in self._keys.items() if is_server]:
            del self._keys[key]
            self._store.put(TOPIC, key, None)

    def _put(self, entry: OddEntry) -> str:
        self._count += 1
        key = f"odd{self._count}"
        self._keys[key] = entry.may_be_server
        self._store.put_raw(TOPIC, key, entry.data)
        return f"{key} {entry.detail}"


def _make_entries() -> list[OddEntry]:
    entries = [OddEntry(repr(data), data, False) for data in UNREADABLE]
    entries += [
        _make_entry("address", f'"127.0.0.1:{port}"', may_be_server=False) for port in PORTS
    ]
    entries += [_make_entry(field, value) for field in NUMBER_FIELDS for value in NUMBERS]
    entries += [_make_entry(field, value) for field in FIELDS for value in WRONG_TYPES]
    for opening, closing in (("[", "]"), ('{"a":', "}")):
        nested = [opening * depth + "1" + closing * depth for depth in DEPTHS]
        entries += [_make_entry(field, value) for field in NESTED_FIELDS for value in nested]
    return entries


def _make_entry(field: str, value: str, *, may_be_server: bool = True) -> OddEntry:
    """Return an entry with one field replaced by a JSON text."""
    entry = payloads.server_entry(CLOSED_ADDRESS, service="app", slots=6)
    data = msgspec.json.encode(entry | {field: msgspec.Raw(value.encode())})
    return OddEntry(f"{field}={value[:DETAIL_LENGTH]}", data, may_be_server)
