"""Tests of the encoding of relayed pages."""

from __future__ import annotations

import zlib
from typing import NamedTuple

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st
from tests.router.gateway.builders import make_config
from tests.router.gateway.builders import make_entry

from cornellead.gateway.relay import ChangeLog
from cornellead.gateway.relay import RelayHandler
from cornellead.gateway.relay import RelayPage
from cornellead.gateway.relay import decode_page
from cornellead.gateway.relay import encode_page
from cornellead.gateway.view import FleetView
from cornellead_core.routing import EntryCount
from cornellead_core.routing import Notice
from cornellead_core.routing import Position
from cornellead_core.routing import QuarantineMark
from cornellead_core.routing import QuarantineNotice
from cornellead_core.routing import RolloutNotice
from cornellead_core.routing import RolloutOrder
from cornellead_core.routing import RolloutOrderNotice
from cornellead_core.routing import RolloutPhase
from cornellead_core.routing import RolloutRecord
from cornellead_core.routing import RouterNotice
from cornellead_core.routing import RoutingNotice
from cornellead_core.routing import ServerNotice
from cornellead_core.routing import Topic


@pytest.mark.parametrize("servers", [0, 1, 300])
def test_page_round_trips(servers: int) -> None:
    """Guards against notices that change in transit, compressed or not."""
    names = [f"s{number}" for number in range(servers)]
    notices = [ServerNotice(name, make_entry(name), removed=False) for name in names]
    page = RelayPage([RoutingNotice(make_config(3).data, ""), *notices], 9, True, 0.5)
    assert decode_page(encode_page(page)) == page


def test_quarantines_round_trip_and_pages_without_them_stay_as_they_were() -> None:
    """Guards against routers of an earlier build that reject every page of a newer one."""
    notice = QuarantineNotice("48720f", QuarantineMark(1, 3, 1_796_000_000_000))
    page = RelayPage([RouterNotice("r1", None), notice], 9, False, 0.5)
    assert decode_page(encode_page(page)) == page
    earlier = encode_page(RelayPage([RouterNotice("r1", None)], 9, False, 0.5))
    assert len(msgspec.msgpack.decode(earlier[1:])) == 7


def test_entries_stay_as_they_were() -> None:
    """Guards against routers of an earlier build that reject each page with a server."""
    notice = ServerNotice("s1", make_entry("s1", sequence=7), removed=False)
    encoded = msgspec.msgpack.decode(encode_page(RelayPage([notice], 9, False, 0.5))[1:])
    assert [len(entry) for _, entry, _ in encoded[5]] == [8]


def _page_with_counts(sequence: int) -> RelayPage:
    entry = make_entry("s1", started_ms=1_796_000_000_000, sequence=sequence)
    notices: list[Notice] = [
        ServerNotice("s1", entry, removed=False),
        ServerNotice("s2", None, removed=True),
    ]
    counts = (
        EntryCount("s1", entry.started_ms, sequence),
        EntryCount("s2", entry.started_ms, 9, left=True),
    )
    return RelayPage(notices, 9, False, 0.5, counts=counts)


def test_counts_round_trip() -> None:
    """Guards against a router that takes over as the reader and knows no counts."""
    page = _page_with_counts(7)
    assert decode_page(encode_page(page, counts=True)) == page


def test_counts_are_sent_only_to_routers_that_ask() -> None:
    """Guards against routers of an earlier build that reject each page with a server."""
    page = _page_with_counts(0)
    assert decode_page(encode_page(page, versions=True)) == page._replace(counts=())
    assert len(msgspec.msgpack.decode(encode_page(page)[1:])) == 7


def test_counts_take_few_bytes() -> None:
    """Guards against control traffic above 3 KB a second: ten changes a second may take a tenth."""
    page = _page_with_counts(100_000)
    added = len(encode_page(page, counts=True)) - len(encode_page(page))
    assert added / len(page.notices) <= 30


def test_large_page_is_compressed() -> None:
    """Guards against configuration changes that exceed a node's 3 KB/s for control traffic."""
    names = [f"s{number}" for number in range(300)]
    notices = [ServerNotice(name, make_entry(name), removed=False) for name in names]
    assert len(encode_page(RelayPage([*notices], 9, True, 0.5))) < 10 * len(notices)


@given(st.binary(max_size=60))
def test_invalid_bytes_are_rejected(data: bytes) -> None:
    """Guards against a crash of the router when another kind of process responds."""
    for body in (data, b"\x01" + data, b"\x01" + zlib.compress(data)):
        assert decode_page(body) is None


@pytest.mark.parametrize(
    ("offset", "age_s"), [(9, float("nan")), (9, float("inf")), (9, -5.0), (-1, 0.5), (2**63, 0.5)]
)
def test_page_of_no_possible_age_or_offset_is_rejected(offset: int, age_s: float) -> None:
    """Guards against a router that takes old notices for current ones, or reads at no offset."""
    assert decode_page(encode_page(RelayPage([], offset, False, age_s))) is None


async def test_read_after_an_impossible_offset_is_rejected() -> None:
    """Guards against a request of another router that gets no answer."""
    log = ChangeLog()
    log.replace([], Position(5), now=0.0)
    handler = RelayHandler(
        logs=dict.fromkeys(Topic, log), view=FleetView(router="r1"), clock=lambda: 1.0
    )
    writer = RecordingWriter()
    target = b"/notices/servers?after=" + b"9" * 30
    await handler.handle(RelayRequest("/notices/servers", target), writer)  # type: ignore[arg-type]
    assert writer.statuses == [400]


class RelayRequest(NamedTuple):
    """Path and target of a request."""

    path: str
    target: bytes


class RecordingWriter:
    """Records the status of each response."""

    def __init__(self) -> None:
        self.statuses: list[int] = []

    def respond(self, status: int, headers: object, body: bytes) -> None:
        self.statuses.append(status)


def test_versions_and_rollouts_are_sent_only_to_routers_that_ask() -> None:
    """Guards against routers of an earlier build that reject each page, and against later ones that
    do not learn of versions."""
    record = RolloutRecord(4, "v2", RolloutPhase.RUNNING, 0.05, 3.0, announced=True)
    notices: list[Notice] = [
        ServerNotice("s1", make_entry("s1", version="v2"), removed=False),
        RolloutOrderNotice("llm", RolloutOrder("llm", "v2", 60.0, 4)),
        RolloutNotice("llm", record),
    ]
    page = RelayPage(notices, 9, False, 0.5)
    assert decode_page(encode_page(page, versions=True)) == page
    earlier = msgspec.msgpack.decode(encode_page(page)[1:])
    assert len(earlier) == 7 and [len(entry) for _, entry, _ in earlier[5]] == [8]
