"""Store client against an in-memory fake of the platform's store."""

from __future__ import annotations

import asyncio
import base64
import time
from typing import TYPE_CHECKING

import msgspec
import pytest
from returns.result import Failure
from returns.result import Result
from returns.result import Success
from tests.platform_adapter import payloads
from tests.platform_adapter.odd_records import odd_entries

from cornellead.gateway.stats import GatewayStats
from cornellead.gateway.sync import ReportingSink
from cornellead.gateway.sync import ServerSink
from cornellead.gateway.sync import TopicReader
from cornellead.gateway.view import FleetView
from cornellead_core.metrics import Metrics
from cornellead_core.routing import UNKNOWN_ERA
from cornellead_core.routing import DataCentreNotice
from cornellead_core.routing import HttpResponse
from cornellead_core.routing import OffsetExpired
from cornellead_core.routing import Position
from cornellead_core.routing import QuarantineMark
from cornellead_core.routing import QuarantineNotice
from cornellead_core.routing import RouterLocation
from cornellead_core.routing import RouterNotice
from cornellead_core.routing import RoutingNotice
from cornellead_core.routing import ServerNotice
from cornellead_core.routing import StoreError
from cornellead_core.routing import Topic
from cornellead_platform import StoreClient

if TYPE_CHECKING:
    from tests.platform_adapter.fake_store import FakeStore

Store = tuple["FakeStore", "StoreClient"]


async def test_all_pages_are_read(store: Store) -> None:
    """Guards against a router that uses only the servers on the first page."""
    fake_store, client = store
    for number in range(5):
        fake_store.put("keyed.servers", f"s{number}", payloads.server_entry())
    batch = (await client.read_newest(Topic.SERVERS)).unwrap()
    assert [n.server for n in batch.notices if isinstance(n, ServerNotice)] == [
        f"s{number}" for number in range(5)
    ]
    assert batch.next_offset == 5


async def test_later_changes_arrive_in_order(store: Store) -> None:
    """Guards against a removal that is returned before the entry that it removes."""
    fake_store, client = store
    fake_store.put("keyed.op", "config", payloads.operator_config(7))
    start = (await client.read_newest(Topic.OPERATOR)).unwrap().next_offset
    fake_store.put("keyed.op", "evacuate/kgl-a", {})
    fake_store.put("keyed.op", "config", payloads.operator_config(9))
    fake_store.put("keyed.op", "evacuate/kgl-a", None)
    batch = (await client.read_after(Topic.OPERATOR, position=Position(start), wait_s=0.0)).unwrap()
    first, second, third = batch.notices
    assert first == DataCentreNotice("kgl-a", out=True)
    assert isinstance(second, RoutingNotice)
    assert second.data is not None and second.data.version == 9
    assert third == DataCentreNotice("kgl-a", out=False)
    assert batch.next_offset == 4


async def test_expired_offset_is_reported(store: Store) -> None:
    """Guards against a reader that waits forever at an offset that is no longer retained."""
    fake_store, client = store
    fake_store.put("keyed.op", "config", payloads.operator_config())
    fake_store.expire_records("keyed.op")
    result = await client.read_after(Topic.OPERATOR, position=Position(0), wait_s=0.0)
    assert isinstance(result, Failure) and isinstance(result.failure(), OffsetExpired)


async def test_announced_routers_are_read_back(store: Store) -> None:
    """Guards against announcements that other routers cannot decode."""
    _, client = store
    await client.announce("r1", RouterLocation("10.0.0.1:7340", "kgl-a"))
    await client.announce("r2", RouterLocation("10.0.0.2:7340", "kgl-b"))
    await client.announce("r1", None)
    batch = (await client.read_after(Topic.ROUTERS, position=Position(0), wait_s=0.0)).unwrap()
    assert batch.notices[1:] == [
        RouterNotice("r2", RouterLocation("10.0.0.2:7340", "kgl-b")),
        RouterNotice("r1", None),
    ]
    third = await client.announce("r3", RouterLocation("10.0.0.3:7340", "kgl-b", 100.0))
    assert third == Success(1)
    batch = (await client.read_after(Topic.ROUTERS, position=Position(3), wait_s=0.0)).unwrap()
    assert batch.notices == [RouterNotice("r3", RouterLocation("10.0.0.3:7340", "kgl-b", 100.0))]


async def test_published_quarantines_are_read_back(store: Store) -> None:
    """Guards against a quarantine that no router finds after all of them were restarted."""
    fake_store, client = store
    mark = QuarantineMark(strikes=2, crashes=4, since_ms=1_796_000_000_000)
    await client.announce("r1", RouterLocation("10.0.0.1:7340", "kgl-a"))
    await client.publish_quarantine("48720f", mark)
    await client.publish_quarantine("a05928", mark)
    await client.publish_quarantine("a05928", None)
    fake_store.put_raw("keyed.routers", "part/bad", b'["many"]')
    batch = (await client.read_newest(Topic.ROUTERS)).unwrap()
    assert QuarantineNotice("48720f", mark) in batch.notices
    assert not any(n for n in batch.notices if n == QuarantineNotice("a05928", mark))
    later = (await client.read_after(Topic.ROUTERS, position=Position(3), wait_s=0.0)).unwrap()
    assert later.notices == [QuarantineNotice("a05928", None)]


async def test_unavailable_store_is_reported_as_an_error(store: Store) -> None:
    """Guards against a process that stops or hangs when the store is down or does not respond."""
    fake_store, client = store
    fake_store.down = True
    rejected = await client.read_newest(Topic.OPERATOR)
    assert isinstance(rejected, Failure) and isinstance(rejected.failure(), StoreError)
    fake_store.down, fake_store.silent = False, True
    started_at = time.monotonic()
    timed_out = await client.read_after(Topic.OPERATOR, position=Position(0), wait_s=0.2)
    assert isinstance(timed_out, Failure) and isinstance(timed_out.failure(), StoreError)
    assert time.monotonic() - started_at < 2.0


async def test_malformed_record_does_not_hide_the_others(store: Store) -> None:
    """Guards against one malformed entry that makes the whole read fail, or is not reported."""
    fake_store, client = store
    fake_store.put_raw("keyed.servers", "s1", b"\xff{")
    fake_store.put("keyed.servers", "s2", payloads.server_entry(state="paused"))
    fake_store.put("keyed.servers", "s3", payloads.server_entry(slots="many"))
    fake_store.put("keyed.servers", "s4", payloads.server_entry(address="somewhere"))
    fake_store.put("keyed.servers", "s5", payloads.server_entry())
    fake_store.put("keyed.servers", "s6", ["no object"])
    fake_store.put_raw("keyed.servers", "s7", b"[" * 100_000)
    batch = (await client.read_after(Topic.SERVERS, position=Position(0), wait_s=0.0)).unwrap()
    usable = [n.server for n in batch.notices if isinstance(n, ServerNotice) and n.entry]
    assert usable == ["s5"]
    assert len(batch.notices) == 7


async def test_reader_follows_a_topic_with_odd_entries(store: Store) -> None:
    """Guards against a reader that one odd entry among sound ones ends or stops."""
    fake_store, client = store
    odd = odd_entries()
    view = FleetView(router="r1")
    stats = GatewayStats(metrics=Metrics())
    servers = ServerSink(view=view, stats=stats, clock=time.monotonic, on_ended=lambda state: None)
    sink = ReportingSink(topic=Topic.SERVERS, sink=servers, stats=stats)
    reader = TopicReader(
        store=client, topic=Topic.SERVERS, sink=sink, wait_s=0.1, interval_s=lambda: 0.01
    )
    for number, (key, value) in enumerate(odd.items()):
        fake_store.put_raw("keyed.servers", key, value)
        fake_store.put("keyed.servers", f"s{number}", payloads.server_entry(f"10.0.0.9:{number+1}"))
    task = asyncio.create_task(reader.run())
    while not view.servers_loaded and not task.done():
        await asyncio.sleep(0.01)
    for number, (key, value) in enumerate(odd.items()):
        fake_store.put_raw("keyed.servers", key, value)
        fake_store.put("keyed.servers", f"t{number}", payloads.server_entry(f"10.0.0.8:{number+1}"))
    await asyncio.wait({task}, timeout=1.0)
    listed = {state.entry.server for state in view.servers.listed("llm")}
    assert not task.done(), task.exception()
    assert listed == {f"{letter}{number}" for letter in "st" for number in range(len(odd))}
    task.cancel()


class PageClient:
    """Answers each call with the next of some bodies."""

    def __init__(self, *bodies: bytes) -> None:
        self._bodies = list(bodies)

    async def call(
        self, address: str, method: str, target: str, *, body: bytes = b"", timeout_s: float
    ) -> Result[HttpResponse, str]:
        return Success(HttpResponse(200, self._bodies.pop(0), wait_s=0.0, transfer_s=0.0))


@pytest.mark.parametrize(
    "body",
    [
        b"[" * 100_000,
        b'{"items":[],"end_offset":' + b"9" * 400 + b"}",
        b'{"items":[],"end_offset":1e300}',
        b'{"items":[],"end_offset":-1}',
        b'{"items":[],"end_offset":' + b"9" * 5000 + b"}",
        b'{"items":5,"end_offset":1}',
        b"\xff",
    ],
    ids=["nested", "400_digits", "exponent", "negative", "5000_digits", "no_list", "no_text"],
)
async def test_unreadable_page_is_a_failed_read(body: bytes) -> None:
    """Guards against a page of the store that ends the reader, or leads it to no offset."""
    result = await StoreClient(address="10.0.0.1:1", http=PageClient(body)).read_newest(
        Topic.SERVERS
    )
    assert isinstance(result, Failure) and isinstance(result.failure(), StoreError)


async def test_odd_item_of_a_page_does_not_hide_the_others() -> None:
    """Guards against a page that cannot be read as a whole because of one of its items."""
    value = base64.b64encode(msgspec.json.encode(payloads.server_entry())).decode()
    items = [{"key": "a", "value": "=="}, 7, {"key": 5}, {"key": "é", "value": "é"}]
    page = {"items": [*items, {"key": "s5", "value": value}], "end_offset": 9, "has_more": False}
    http = PageClient(msgspec.json.encode(page))
    batch = (await StoreClient(address="10.0.0.1:1", http=http).read_newest(Topic.SERVERS)).unwrap()
    usable = [n.server for n in batch.notices if isinstance(n, ServerNotice) and n.entry]
    assert usable == ["s5"]
    assert len(batch.unreadable) >= 3


async def test_page_that_repeats_itself_is_a_failed_read() -> None:
    """Guards against a reader that asks for the same page without end."""
    page = msgspec.json.encode(
        {"items": [{"key": "s1", "value": ""}], "end_offset": 9, "has_more": True}
    )
    http = PageClient(*[page] * 5)
    result = await StoreClient(address="10.0.0.1:1", http=http).read_newest(Topic.SERVERS)
    assert isinstance(result, Failure)


async def test_batches_name_the_era_of_the_store(store: Store) -> None:
    """Guards against logs that do not tell which history of the store an offset belongs to."""
    fake_store, client = store
    fake_store.put("keyed.op", "config", payloads.operator_config(7))
    fake_store.restore(fake_store.copy())
    newest = (await client.read_newest(Topic.OPERATOR)).unwrap()
    later = (await client.read_after(Topic.OPERATOR, position=newest.position, wait_s=0.0)).unwrap()
    assert newest.position == later.position == Position(1, era=2)
    gone = await client.read_after(Topic.OPERATOR, position=Position(5, era=1), wait_s=0.0)
    assert isinstance(gone, Failure) and gone.failure() == OffsetExpired(5, era=2)


@pytest.mark.parametrize("era", [None, b"", b"-2", b"two", b"1" * 30, "٣".encode()])
async def test_store_without_a_usable_era_is_read(store: Store, era: bytes | None) -> None:
    """Guards against routers that stop reading a store which names no era, or an odd one."""
    fake_store, client = store
    fake_store.era_header = era
    fake_store.put("keyed.op", "config", payloads.operator_config(7))
    newest = (await client.read_newest(Topic.OPERATOR)).unwrap()
    later = await client.read_after(Topic.OPERATOR, position=newest.position, wait_s=0.0)
    assert later.unwrap().position == newest.position == Position(1, era=UNKNOWN_ERA)


async def test_count_and_start_of_an_entry_are_decoded(store: Store) -> None:
    """Guards against older entries of a server that cannot be told from later ones."""
    fake_store, client = store
    fake_store.put(
        "keyed.servers", "s1", payloads.server_entry(sequence=12, born=1_790_000_000_001)
    )
    batch = (await client.read_newest(Topic.SERVERS)).unwrap()
    entries = [n.entry for n in batch.notices if isinstance(n, ServerNotice) and n.entry]
    assert [(entry.started_ms, entry.sequence) for entry in entries] == [(1_790_000_000_001, 12)]
